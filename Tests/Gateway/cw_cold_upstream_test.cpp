#include "cw_gateway_control.h"
#include "cw_ownership_simulation.h"
#include "cw_platform_codec.h"
#include "cw_upstream_delta.h"
#include "cw_upstream_replica.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <string>

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr cw_boot_time start{1'000s};

cw_upstream_entry entry(const std::string& id, cw_boot_time warm_at, std::uint64_t sequence) {
    cw_upstream_entry made;
    made.id = id;
    made.service = "s";
    made.address = "10.0.0.1:1";
    made.slots = 3;
    made.incarnation = 1;
    made.warm_at = warm_at;
    made.sequence = sequence;
    return made;
}

/// A configuration with one service that has the given members.
json config_with(const std::string& members) {
    return json::parse(R"({"version": 7, "listeners": [], "clusters": [{"name": "a")" + members +
                       "}]}");
}

/// The service of such a configuration, which is valid, and the number of its ignored values.
std::pair<cw_site_service, std::size_t> service_with(const std::string& members) {
    std::vector<cw_error> ignored;
    const auto config = cw_decode_config(config_with(members), &ignored);
    REQUIRE(config);
    for (const auto& error : ignored) {
        CHECK(error.peer == "a");
    }
    return {config->services().at("a"), ignored.size()};
}

/// A replica and a directory that know a warm upstream.
struct known_upstream {
    cw_upstream_replica replica;
    cw_upstream_directory directory{2'500ms};
    std::uint64_t revision = 10;

    known_upstream() {
        replica.apply({{1, revision}, true, {entry("u", {}, 1)}, {}});
        directory.on_list({entry("u", {}, 1)}, start);
    }
    /// True if the replica passes the entry on and the directory calls it a change.
    bool is_change(const cw_upstream_entry& written) {
        const auto delta = replica.apply({{1, ++revision}, false, {written}, {}});
        const bool changed = directory.on_entry(written);
        CHECK(changed == !delta.is_empty());
        return changed;
    }
};

/// A service with six upstreams and a limit for cold ones, in which all keys are settled.
struct limited_service {
    cw_ownership_simulation simulation{7};

    limited_service() {
        simulation.set_cold_limit(true);
        for (const char* host : {"a", "b", "c"}) {
            simulation.start_host(host);
        }
        for (const char* id : {"u1", "u2", "u3", "u4", "u5", "u6"}) {
            simulation.start_upstream(id);
        }
        simulation.run(4s);
        simulation.reset_unheld_time();
    }
    std::size_t keys_of(const std::string& id) const {
        std::size_t count = 0;
        for (std::size_t sample = 0; sample < cw_ownership_simulation::samples; ++sample) {
            count += simulation.holder(sample) == id ? 1 : 0;
        }
        return count;
    }
    void check_violations() const {
        for (const auto& violation : simulation.violations()) {
            FAIL_CHECK(violation);
        }
    }
};

/// The control state of the only host of a deployment, whose store and upstreams answer at once.
class only_host {
public:
    explicit only_host(double cold_rate) {
        const auto config =
            cw_site_config::make(1, {}, {}, {{.name = "s", .keyed = true, .cold_rate = cold_rate}});
        handle(cw_config_received{std::make_shared<const cw_site_config>(*config)});
        std::vector<cw_upstream_entry> entries;
        for (const char* id : {"u0", "u1", "u2", "u3"}) {
            entries.push_back(entry(id, {}, 1));
        }
        handle(cw_upstreams_listed{entries});
        run(5s);
    }

    void handle(const cw_control_event& event) {
        const auto output = control_.decide(event, now_);
        view_ = output.view == nullptr ? view_ : output.view;
        for (const auto& command : output.commands) {
            answer(command);
        }
    }
    void run(std::chrono::milliseconds length) {
        const auto until = now_ + length;
        for (; now_ < until; now_ += 50ms) {
            handle(cw_clock_tick{});
        }
    }
    [[nodiscard]] cw_boot_time now() const { return now_; }
    [[nodiscard]] bool owns_keys(const std::string& id) const {
        const auto& ranges = view_->tables.at("s")->ranges;
        return std::any_of(ranges.begin(), ranges.end(), [&](const auto& range) {
            return range.owner.id == id && !range.is_moving();
        });
    }

private:
    void answer(const cw_steward_command& command) {
        if (const auto* sent = std::get_if<cw_ownership_command>(&command)) {
            cw_ownership_command_ended ended;
            ended.number = sent->number;
            ended.result = cw_ownership_command_result::done;
            ended.ended_at = now_;
            handle(cw_ownership_event{"s", ended});
        } else if (const auto* write = std::get_if<cw_write_table>(&command)) {
            stored_ = *cw_key_table::parse(write->text);
            ++revision_;
            handle(cw_ownership_event{
                "s", cw_table_answer{cw_table_result::done, true, stored_, revision_, 1, now_}});
        } else if (std::holds_alternative<cw_read_table>(command)) {
            handle(cw_ownership_event{
                "s", cw_table_answer{cw_table_result::done, false, stored_, revision_, 1, now_}});
        } else if (const auto* beat = std::get_if<cw_write_heartbeat>(&command)) {
            handle(cw_ownership_event{
                "s", cw_heartbeat_answer{true, true, beat->count, 1, beat->term, now_}});
        }
    }

    cw_gateway_control control_{
        {"h", 1, "h:1"}, {"z", "h:1", 1.0}, cw_steward_options{}, 2'500ms, 1};
    cw_boot_time now_ = start;
    std::optional<cw_key_table> stored_;
    std::uint64_t revision_ = 0;
    std::shared_ptr<const cw_gateway_view> view_;
};

} // namespace

// -- configuration

TEST_CASE("cold_limit_of_a_service_is_decoded_and_absent_values_mean_none") {
    auto [service, ignored] = service_with(R"(, "coldPerS": 4.5, "coldStartS": 3)");
    CHECK(service.cold_rate == doctest::Approx(4.5));
    CHECK(service.cold_start == 3s);
    CHECK(ignored == 0);
    for (const char* members : {"", R"(, "coldPerS": 0, "coldStartS": 0)"}) {
        std::tie(service, ignored) = service_with(members);
        CHECK(service.cold_rate == doctest::Approx(0.0));
        CHECK(service.cold_start == 0s);
        CHECK(ignored == 0);
    }
}

// A typing error in one service's limit must not keep a configuration from being in force.
TEST_CASE("cold_limit_that_is_no_number_from_0_up_leaves_the_service_without_one") {
    for (const char* members :
         {R"(, "coldPerS": -1, "coldStartS": 3)", R"(, "coldPerS": "4.5", "coldStartS": 3)",
          R"(, "coldPerS": null)", R"(, "coldPerS": [4.5])", R"(, "coldPerS": {"a": 1})",
          R"(, "coldPerS": true)", R"(, "coldPerS": 4.5, "coldStartS": -0.1)",
          R"(, "coldPerS": 4.5, "coldStartS": "3")", R"(, "coldPerS": -1, "coldStartS": "3")"}) {
        CAPTURE(members);
        const auto [service, ignored] = service_with(members);
        CHECK(service.cold_rate == doctest::Approx(0.0));
        CHECK(service.cold_start == 0s);
        CHECK(ignored == 1);
    }
}

// -- entries

// The entries of warm upstreams are written several times a second.
TEST_CASE_FIXTURE(known_upstream, "heartbeat_of_a_warm_upstream_is_not_a_change") {
    auto object = json::parse(R"({"metadata": {"name": "u"}, "spec": {"service": "s",
        "address": "10.0.0.1:1", "zone": "", "slots": 3, "state": "ready", "coldRemainingS": 0,
        "born": 1}})");
    for (std::uint64_t sequence = 2; sequence < 10; ++sequence) {
        object["spec"]["sequence"] = sequence;
        const auto decoded = cw_decode_upstream(object, start + 1s * sequence);
        REQUIRE(decoded);
        CHECK(decoded->warm_at == cw_boot_time{});
        CHECK_FALSE(is_change(*decoded));
    }
}

TEST_CASE("warm_entry_passed_on_between_hosts_is_warm_at_no_time") {
    const cw_upstream_delta delta{{1, 5}, true, {entry("u", {}, 2)}, {}};
    const auto received = cw_delta_from_json(cw_delta_to_json(delta, start), start + 50s);
    REQUIRE(received);
    CHECK(received->written.front().warm_at == cw_boot_time{});
}

// An upstream may be cold again without a restart. Until hosts know, they flood it.
TEST_CASE_FIXTURE(known_upstream, "upstream_that_is_cold_again_without_a_restart_is_passed_on") {
    CHECK(is_change(entry("u", start + 3s, 2)));
    CHECK(replica.delta_since({1, 10}).written.front().warm_at == start + 3s);
    CHECK(directory.find("u")->warm_at == start + 3s);
    // Heartbeats state less and less; each arrives a little earlier or later.
    CHECK_FALSE(is_change(entry("u", start + 2'800ms, 3)));
    CHECK_FALSE(is_change(entry("u", start + 3'400ms, 4)));
    CHECK_FALSE(is_change(entry("u", {}, 5)));
    CHECK(is_change(entry("u", start + 7s, 6)));
    CHECK(directory.find("u")->warm_at == start + 7s);
}

TEST_CASE_FIXTURE(known_upstream, "warm_up_that_each_heartbeat_extends_a_little_is_passed_on") {
    REQUIRE(is_change(entry("u", start + 3s, 2)));
    CHECK_FALSE(is_change(entry("u", start + 3'400ms, 3)));
    CHECK(is_change(entry("u", start + 3'800ms, 4)));
    CHECK(directory.find("u")->warm_at == start + 3'800ms);
    CHECK(replica.delta_since({}).written.front().warm_at == start + 3'800ms);
}

TEST_CASE_FIXTURE(known_upstream, "cold_entry_that_is_read_a_second_time_is_not_cold_for_longer") {
    REQUIRE(is_change(entry("u", start + 3s, 2)));
    CHECK_FALSE(is_change(entry("u", start + 5s, 2)));
    CHECK(directory.find("u")->warm_at == start + 3s);
}

// -- keys

TEST_CASE_FIXTURE(limited_service, "keys_of_an_owner_that_turns_cold_move_and_are_hardly_away") {
    REQUIRE(keys_of("u2") >= 4);
    simulation.cool_upstream("u2", 10s);
    simulation.run(500ms);
    CHECK(keys_of("u2") == 0);
    CHECK(simulation.max_unheld_time() <= 100ms);
    simulation.run(9s);
    CHECK(keys_of("u2") == 0);
    simulation.run(3s);
    CHECK(keys_of("u2") >= 4);
    CHECK(simulation.max_unheld_time() <= 100ms);
    check_violations();
}

TEST_CASE_FIXTURE(limited_service,
                  "keys_of_cold_owners_move_while_half_of_the_upstreams_are_warm") {
    for (const char* id : {"u1", "u2", "u3"}) {
        simulation.cool_upstream(id, 10s);
    }
    simulation.run(1s);
    for (const char* id : {"u1", "u2", "u3"}) {
        CHECK(keys_of(id) == 0);
    }
    check_violations();
}

// Few warm upstreams could not take the keys of all others.
TEST_CASE_FIXTURE(limited_service, "keys_stay_with_cold_owners_while_more_than_half_are_cold") {
    for (const char* id : {"u1", "u2", "u3", "u4"}) {
        simulation.cool_upstream(id, 3s);
    }
    simulation.run(2'900ms);
    CHECK(simulation.moved_share() == doctest::Approx(0.0));
    CHECK(simulation.max_unheld_time() <= 20ms);
    check_violations();
}

TEST_CASE_FIXTURE(limited_service, "cold_upstream_is_given_keys_only_where_no_other_is_left") {
    simulation.start_upstream("u7", 0ms, 5s);
    simulation.run(4'800ms);
    CHECK(keys_of("u7") == 0);
    simulation.run(3s);
    CHECK(keys_of("u7") >= 3);
    for (const char* id : {"u1", "u2", "u3", "u4", "u5", "u6"}) {
        simulation.drain_upstream(id);
    }
    simulation.cool_upstream("u7", 60s);
    simulation.run(2s);
    CHECK(keys_of("u7") == cw_ownership_simulation::samples);
    check_violations();
}

TEST_CASE("keys_of_a_cold_owner_move_only_if_the_configuration_limits_its_service") {
    for (const double cold_rate : {0.0, 4.5}) {
        only_host host{cold_rate};
        REQUIRE(host.owns_keys("u0"));
        host.handle(cw_upstreams_changed{{entry("u0", host.now() + 10s, 2)}, {}});
        host.run(1s);
        CHECK(host.owns_keys("u0") == (cold_rate == 0.0));
    }
}
