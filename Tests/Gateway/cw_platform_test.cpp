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

cw_http_response answer(unsigned status) {
    cw_http_response made{static_cast<boost::beast::http::status>(status), 11};
    made.set("X-Cuminwinch-Attempt-Id", "r1");
    made.set("X-Cuminwinch-Response-Signature", "s");
    return made;
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

TEST_CASE("configuration_spoilt_is_an_error_that_names_the_place") {
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

TEST_CASE("upstream_entry_spoilt_in_any_field_names_no_upstream") {
    const std::pair<const char*, json> spoilt[] = {
        {"service", 5},          {"service", nullptr}, {"address", "nowhere"},
        {"address", 7},          {"zone", nullptr},    {"slots", 0},
        {"slots", "three"},      {"state", "asleep"},  {"state", 1},
        {"coldRemainingS", "x"}, {"born", "x"}};
    for (const auto& [field, value] : spoilt) {
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

TEST_CASE("order_encoded_states_range_fence_lease_and_token") {
    cw_ownership_command order;
    order.first = 4'096;
    order.last = 8'191;
    order.fence = 12;
    order.lease = 1'200ms;
    order.handover = "token";
    CHECK(json::parse(cw_encode_order(order)) ==
          json::parse(R"({"from":4096,"target":8191,"fence":12,"holdS":1.2,"handover":"token"})"));
    order.type = cw_ownership_command::kind::release;
    CHECK(json::parse(cw_encode_order(order)) ==
          json::parse(R"({"from":4096,"target":8191,"fence":12})"));
}

TEST_CASE("answer_facts_tell_what_ran_and_what_did_not") {
    using kind = cw_answer_metadata::kind;
    const auto kind_of = [](const cw_http_response& made) {
        return cw_platform_dialect::metadata_of(made, "r1").outcome;
    };
    CHECK(kind_of(answer(200)) == kind::answered);
    CHECK(kind_of(answer(404)) == kind::answered);
    CHECK(kind_of(answer(500)) == kind::answered);
    CHECK(kind_of(answer(504)) == kind::answered);
    CHECK(kind_of(answer(421)) == kind::not_owner);
    for (const unsigned status : {408U, 429U, 503U}) {
        CHECK(kind_of(answer(status)) == kind::invalid);
    }
    for (const unsigned status : {400U, 429U, 503U}) {
        auto made = answer(status);
        made.set("X-Cuminwinch-Not-Executed", "1");
        CHECK(kind_of(made) == kind::busy);
    }
    auto foreign = answer(200);
    foreign.set("X-Cuminwinch-Attempt-Id", "r2");
    CHECK(kind_of(foreign) == kind::mismatched);
    auto unsigned_answer = answer(200);
    unsigned_answer.erase("X-Cuminwinch-Response-Signature");
    CHECK(kind_of(unsigned_answer) == kind::invalid);
}

TEST_CASE("answer_facts_read_load_and_idle_limit_and_pass_over_spoilt_ones") {
    auto made = answer(200);
    made.set("X-Cuminwinch-Instance-Load", "3,7,6");
    made.set("Keep-Alive", "timeout=10, max=5");
    const auto facts = cw_platform_dialect::metadata_of(made, "r1");
    REQUIRE(facts.load);
    CHECK(facts.load->running == 3);
    CHECK(facts.load->waiting == 7);
    CHECK(facts.load->slots == 6);
    CHECK(facts.idle_timeout == 10s);
    for (const char* spoilt : {"", "3", "3,7", "3,7,6,1", "a,b,c", "-1,0,3", "3, 7, 6"}) {
        made.set("X-Cuminwinch-Instance-Load", spoilt);
        CHECK_MESSAGE(!cw_platform_dialect::metadata_of(made, "r1").load, spoilt);
    }
}

TEST_CASE("retry_after_states_fractions_of_seconds") {
    cw_http_response made;
    cw_platform_dialect::set_return(made, 250ms);
    CHECK(made["Retry-After"] == "0.250");
}
