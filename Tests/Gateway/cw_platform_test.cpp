#include "cw_platform_codec.h"
#include "cw_platform_dialect.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <string>

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json config_spec() {
    return json::parse(R"({"version": 7,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000, "headerTimeoutS": 3, "idleTimeoutS": 15.5},
        "listeners": [{"host": "Shop.example", "rules": [
            {"name": "view", "kind": "safe", "targetLatencyS": 0.5, "priority": 2, "match": {"pathPrefix": "/v/"},
             "action": {"backends": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
                        "timeoutS": 1.2, "maxAttempts": 2}},
            {"name": "book", "kind": "non_idempotent", "match": {"pathPrefix": "/v/book/"},
             "action": {"service": "b", "timeoutS": 1.5, "maxAttempts": 1}}]}],
        "clusters": [{"name": "a", "maxConnections": 120, "sharded": true, "warmupS": 5.0, "new": 1},
                     {"name": "b"}]})");
}

json upstream_object() {
    return json::parse(R"({"metadata": {"name": "i-1", "revision": 9}, "status": null,
        "spec": {"service": "a", "address": "10.0.0.9:8080", "zone": "z", "version": "v1", "slots": 3,
                 "state": "ready", "coldRemainingS": 1.5, "sequence": 4, "born": 1700000000123}})");
}

const cw_boot_time now{1'000s};

cw_http_response make_answer(unsigned status) {
    cw_http_response answer{static_cast<boost::beast::http::status>(status), 11};
    answer.set("X-Cuminwinch-Attempt-Id", "r1");
    answer.set("X-Cuminwinch-Response-Signature", "s");
    return answer;
}

} // namespace

TEST_CASE("configuration_decoded_holds_every_field_in_the_products_terms") {
    const auto config = cw_decode_config(config_spec());
    REQUIRE(config);
    CHECK(config->version() == 7);
    CHECK(config->limits().max_header_bytes == 16'384);
    CHECK(config->limits().idle_timeout == 15'500ms);
    const auto* view = config->find("shop.EXAMPLE:80", "/v/x");
    REQUIRE(view != nullptr);
    CHECK(view->name == "view");
    CHECK(view->repeatable);
    CHECK(view->timeout == 1'200ms);
    CHECK(view->target == 500ms);
    CHECK(view->max_attempts == 2);
    CHECK(view->parts.size() == 2);
    CHECK(view->parts[0].weight == 90);
    const auto* book = config->find("shop.example", "/v/book/1");
    REQUIRE(book != nullptr);
    CHECK(book->name == "book");
    CHECK_FALSE(book->repeatable);
    CHECK(config->find("shop.example", "/v") == nullptr);
    CHECK(config->find("other.example", "/v/x") == nullptr);
    CHECK(config->services().at("a").keyed);
    CHECK(config->services().at("a").warm_up == 5s);
    CHECK_FALSE(config->services().at("b").keyed);
}

TEST_CASE("configuration_invalid_is_an_error_that_names_the_place") {
    for (const char* path :
         {"/version", "/listeners", "/clusters", "/listeners/0/host", "/listeners/0/rules/0/match",
          "/listeners/0/rules/0/action", "/listeners/0/rules/1/action/service"}) {
        auto spec = config_spec();
        spec[json::json_pointer{path}] = json::array({1});
        CHECK_MESSAGE(!cw_decode_config(spec), path);
    }
    auto unknown = config_spec();
    unknown["listeners"][0]["rules"][1]["action"]["service"] = "nobody";
    const auto read = cw_decode_config(unknown);
    REQUIRE(!read);
    CHECK(read.error().peer == "book");
    CHECK_FALSE(cw_decode_config(json{}));
    CHECK_FALSE(cw_decode_config(json("text")));
}

TEST_CASE("upstream_entry_decoded_holds_every_field_in_the_products_terms") {
    const auto entry = cw_decode_upstream(upstream_object(), now);
    REQUIRE(entry);
    CHECK(entry->id == "i-1");
    CHECK(entry->service == "a");
    CHECK(entry->address == "10.0.0.9:8080");
    CHECK(entry->domain == "z");
    CHECK(entry->slots == 3);
    CHECK_FALSE(entry->leaving);
    CHECK(entry->warm_at == now + 1'500ms);
    CHECK(entry->incarnation == 1'700'000'000'123);
}

TEST_CASE("upstream_entry_with_an_invalid_field_is_rejected") {
    const std::pair<const char*, json> invalid[] = {
        {"service", 5},          {"service", nullptr}, {"address", "nowhere"},
        {"address", 7},          {"zone", nullptr},    {"slots", 0},
        {"slots", "three"},      {"state", "asleep"},  {"state", 1},
        {"coldRemainingS", "x"}, {"born", "x"}};
    for (const auto& [field, value] : invalid) {
        auto object = upstream_object();
        object["spec"][field] = value;
        CHECK_MESSAGE(!cw_decode_upstream(object, now), field << " " << value.dump());
    }
    for (const char* field : {"service", "address", "zone", "slots", "state"}) {
        auto object = upstream_object();
        object["spec"].erase(field);
        CHECK_MESSAGE(!cw_decode_upstream(object, now), field);
    }
    CHECK_FALSE(cw_decode_upstream(json("..."), now));
    CHECK_FALSE(cw_decode_upstream(json{{"metadata", {{"name", "i-1"}}}, {"spec", "x"}}, now));
}

TEST_CASE("ownership_command_encoded_contains_range_fence_lease_and_token") {
    cw_ownership_command command;
    command.first = 4'096;
    command.last = 8'191;
    command.fence = 12;
    command.lease = 1'200ms;
    command.handover = "token";
    CHECK(json::parse(cw_encode_ownership_command(command)) ==
          json::parse(R"({"from":4096,"target":8191,"fence":12,"holdS":1.2,"handover":"token"})"));
    command.type = cw_ownership_command::kind::release;
    CHECK(json::parse(cw_encode_ownership_command(command)) ==
          json::parse(R"({"from":4096,"target":8191,"fence":12})"));
}

TEST_CASE("answer_metadata_states_whether_the_request_ran") {
    using kind = cw_answer_metadata::kind;
    const auto kind_of = [](const cw_http_response& answer) {
        return cw_platform_dialect::metadata_of(answer, "r1").outcome;
    };
    CHECK(kind_of(make_answer(200)) == kind::answered);
    CHECK(kind_of(make_answer(404)) == kind::answered);
    CHECK(kind_of(make_answer(500)) == kind::answered);
    CHECK(kind_of(make_answer(504)) == kind::answered);
    CHECK(kind_of(make_answer(421)) == kind::not_owner);
    for (const unsigned status : {408U, 429U, 503U}) {
        CHECK(kind_of(make_answer(status)) == kind::invalid);
    }
    for (const unsigned status : {400U, 429U, 503U}) {
        auto answer = make_answer(status);
        answer.set("X-Cuminwinch-Not-Executed", "1");
        CHECK(kind_of(answer) == kind::busy);
    }
    auto mismatched = make_answer(200);
    mismatched.set("X-Cuminwinch-Attempt-Id", "r2");
    CHECK(kind_of(mismatched) == kind::mismatched);
    auto unsigned_answer = make_answer(200);
    unsigned_answer.erase("X-Cuminwinch-Response-Signature");
    CHECK(kind_of(unsigned_answer) == kind::invalid);
}

TEST_CASE("answer_metadata_reads_load_and_idle_limit_and_skips_invalid_ones") {
    auto answer = make_answer(200);
    answer.set("X-Cuminwinch-Instance-Load", "3,7,6");
    answer.set("Keep-Alive", "timeout=10, max=5");
    const auto metadata = cw_platform_dialect::metadata_of(answer, "r1");
    REQUIRE(metadata.load);
    CHECK(metadata.load->running == 3);
    CHECK(metadata.load->waiting == 7);
    CHECK(metadata.load->slots == 6);
    CHECK(metadata.idle_timeout == 10s);
    CHECK(metadata.load->slowdown == 1.0);
    CHECK(metadata.invalid_load.empty());
    for (const char* invalid : {"",
                                "3",
                                "3,7",
                                "3,7,6,100,1",
                                "a,b,c",
                                "-1,0,3",
                                "3,-1,3",
                                "3,7,-6",
                                "3,7,6,-100",
                                "3, 7, 6",
                                "3,7,6,",
                                ",7,6",
                                "3,,6",
                                "3,7,6,nan",
                                "3,7,6,inf",
                                "3,7,6,99.5",
                                "3,7,6,+99",
                                "3,7,0",
                                "3,7,100001",
                                "3,7,6,0",
                                "3,7,6,100001",
                                "4294967296,7,6",
                                "3,4294967296,6",
                                "3,7,99999999999999999999",
                                "3,7,6,99999999999999999999"}) {
        answer.set("X-Cuminwinch-Instance-Load", invalid);
        const auto invalid_metadata = cw_platform_dialect::metadata_of(answer, "r1");
        CHECK_MESSAGE(!invalid_metadata.load, invalid);
        CHECK(invalid_metadata.invalid_load ==
              "X-Cuminwinch-Instance-Load: " + std::string{invalid});
        CHECK(invalid_metadata.outcome == cw_answer_metadata::kind::answered);
    }
    answer.erase("X-Cuminwinch-Instance-Load");
    const auto without_load = cw_platform_dialect::metadata_of(answer, "r1");
    CHECK_FALSE(without_load.load);
    CHECK(without_load.invalid_load.empty());
}

// Guards against hosts that work without any load because the header has a fourth value.
TEST_CASE("answer_metadata_reads_the_slowdown_from_a_fourth_value_of_the_load") {
    const auto load_of = [](const char* text) {
        auto answer = make_answer(200);
        answer.set("X-Cuminwinch-Instance-Load", text);
        return cw_platform_dialect::metadata_of(answer, "r1").load;
    };
    const std::pair<const char*, double> values[] = {
        {"3,7,6,100", 1.0}, {"3,7,6,317", 3.17}, {"3,7,6,1", 0.01}, {"3,7,6,100000", 1'000.0}};
    for (const auto& [text, slowdown] : values) {
        const auto load = load_of(text);
        REQUIRE_MESSAGE(load, text);
        CHECK(load->running == 3);
        CHECK(load->waiting == 7);
        CHECK(load->slots == 6);
        CHECK(load->slowdown == doctest::Approx(slowdown));
    }
    CHECK(load_of("4294967295,0,100000")->running == 4'294'967'295U);
}

// Guards against a download that fails with its first upstream, and against a second run of a
// request of a kind that is not known to be idempotent.
TEST_CASE("configuration_decoded_takes_only_safe_and_download_routes_for_idempotent") {
    const std::pair<const char*, bool> kinds[] = {
        {"safe", true},       {"download", true},   {"non_idempotent", false},
        {"upload", false},    {"Safe", false},      {"DOWNLOAD", false},
        {"download ", false}, {"downloads", false}, {"", false}};
    for (const auto& [kind, is_idempotent] : kinds) {
        auto spec = config_spec();
        spec["listeners"][0]["rules"][0]["kind"] = kind;
        const auto config = cw_decode_config(spec);
        REQUIRE(config);
        CHECK_MESSAGE(config->find("shop.example", "/v/x")->repeatable == is_idempotent, kind);
    }
    auto without_kind = config_spec();
    without_kind["listeners"][0]["rules"][0].erase("kind");
    CHECK_FALSE(cw_decode_config(without_kind)->find("shop.example", "/v/x")->repeatable);
}

TEST_CASE("retry_after_states_fractions_of_seconds") {
    cw_http_response answer;
    cw_platform_dialect::set_retry_after(answer, 250ms);
    CHECK(answer["Retry-After"] == "0.250");
}
