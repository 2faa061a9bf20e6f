#include "cw_key_table.h"
#include "cw_site_config.h"
#include "cw_steward.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <variant>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr auto longest_target = 1'200ms;
constexpr auto longer_lease = 1'580ms;

/// A steward of a service with one upstream, and the store's copy of its table.
struct stewardship {
    cw_boot_time now{1'000s};
    cw_steward steward{"s", {"h", 1, "h:1"}, cw_steward_options{}, 1};
    cw_key_table stored;
    std::uint64_t revision = 7;
    bool has_lost_writes = false;
    std::vector<std::chrono::milliseconds> granted;

    stewardship() {
        stored = *cw_key_table::parse(R"({"term":4,"era":3,"edition":9,"last_fence":5,
            "steward":{"host":"","incarnation":0,"address":""},"predecessors":[],
            "ranges":[{"first":0,"last":65535,"fence":5,"owner":{"id":"u","life":1,"address":"u:1"}}]})");
        cw_upstream_entry owner;
        owner.id = "u";
        owner.service = "s";
        owner.address = "u:1";
        owner.slots = 3;
        owner.incarnation = 1;
        steward.on_upstreams({{owner.id, owner}}, now);
    }

    void run(std::chrono::milliseconds length) {
        for (const auto until = now + length; now < until; now += 50ms) {
            cw_steward::commands commands;
            steward.on_tick(now, commands);
            execute(std::move(commands));
        }
    }

    /// True if an event has the given type and a detail that contains the text.
    bool has_event(const std::string& type, const std::string& text) {
        for (const auto& event : steward.take_events()) {
            if (event.type == type && event.detail.find(text) != std::string::npos) {
                return true;
            }
        }
        return false;
    }

private:
    void execute(cw_steward::commands commands) {
        while (!commands.empty()) {
            cw_steward::commands more;
            for (const auto& command : commands) {
                execute(command, more);
            }
            commands = std::move(more);
        }
    }

    void execute(const cw_steward_command& command, cw_steward::commands& more) {
        if (const auto* sent = std::get_if<cw_ownership_command>(&command)) {
            granted.push_back(sent->lease);
            cw_ownership_command_ended ended;
            ended.number = sent->number;
            ended.result = cw_ownership_command_result::done;
            ended.ended_at = now;
            steward.on_command_ended(ended, now, more);
            return;
        }
        if (std::holds_alternative<cw_write_heartbeat>(command)) {
            return;
        }
        const auto* write = std::get_if<cw_write_table>(&command);
        if (write != nullptr && has_lost_writes) {
            steward.on_table_answer({}, now, more);
            return;
        }
        if (write != nullptr) {
            stored = *cw_key_table::parse(write->text);
            ++revision;
        }
        steward.on_table_answer({cw_table_result::done, write != nullptr, stored, revision, 3, now},
                                now, more);
    }
};

} // namespace

// An upstream ends a request in failure that runs for longer than the lease in force at its start:
// callers of services with long requests lost one response in ten.
TEST_CASE("lease_lasts_for_a_request_within_the_target_latency_that_begins_before_a_renewal") {
    const cw_steward_options options;
    CHECK(options.lease_for_requests(longest_target) == longer_lease);
    CHECK(options.lease_for_requests(longest_target) >= longest_target + options.renewal_interval);
}

// Keys of a lost upstream are away for the length of a lease, which must not grow without need.
TEST_CASE("lease_keeps_its_length_where_requests_are_shorter_than_it") {
    const cw_steward_options options;
    CHECK(options.lease_for_requests(0ms) == options.lease);
    CHECK(options.lease_for_requests(250ms) == options.lease);
    CHECK(options.lease_for_requests(600ms) == options.lease);
}

// An upstream may execute an unanswered grant two seconds late, and must not hold keys by it then.
TEST_CASE("lease_of_the_longest_requests_ends_before_a_late_command_takes_effect") {
    cw_steward_options options;
    CHECK(options.max_lease(options.lease_for_requests(60s)) < 2s);
    options.tenure = 1'200ms;
    CHECK(options.lease_for_requests(60s) <= options.tenure);
}

TEST_CASE("configuration_names_the_longest_target_latency_of_each_service") {
    cw_site_route quick{"quick", "a.example", "/q/", {{"both", 1}}};
    quick.target = 500ms;
    cw_site_route slow{"slow", "a.example", "/s/", {{"both", 1}, {"one", 1}}};
    slow.target = longest_target;
    std::vector<cw_site_service> services(3);
    services[0].name = "both";
    services[1].name = "one";
    services[2].name = "none";
    const auto config = cw_site_config::make(1, {}, {quick, slow}, services);
    REQUIRE(config);
    CHECK(config->services().at("both").longest_target == longest_target);
    CHECK(config->services().at("one").longest_target == longest_target);
    CHECK(config->services().at("none").longest_target == 0ms);
}

// A successor waits for the leases that the table names. One that reads the table before the longer
// leases are in it would give keys away while their old owner holds them.
TEST_CASE_FIXTURE(stewardship,
                  "leases_get_longer_only_once_the_table_in_the_store_names_their_length") {
    run(500ms);
    steward.set_longest_target(longest_target);
    has_lost_writes = true;
    granted.clear();
    run(2s);
    REQUIRE_FALSE(granted.empty());
    CHECK(*std::max_element(granted.begin(), granted.end()) == 1'000ms);
    has_lost_writes = false;
    run(1s);
    CHECK(stored.longest_lease == longer_lease);
    CHECK(granted.back() == longer_lease);
}

TEST_CASE_FIXTURE(stewardship, "leases_get_shorter_at_once_and_the_table_keeps_the_longest") {
    steward.set_longest_target(longest_target);
    run(1s);
    REQUIRE(granted.back() == longer_lease);
    steward.set_longest_target(500ms);
    run(1s);
    CHECK(granted.back() == 1'000ms);
    CHECK(stored.longest_lease == longer_lease);
}

// A host that knows a later configuration with shorter requests succeeds a steward that granted
// longer leases.
TEST_CASE_FIXTURE(stewardship, "successor_waits_for_the_longest_lease_that_the_table_names") {
    stored.longest_lease = longer_lease;
    run(500ms);
    // 4% for a slow clock, 400 ms until a command is sent and 100 ms for its way.
    CHECK(has_event("steward takes over", "within 2143 ms"));
}

TEST_CASE_FIXTURE(stewardship, "successor_without_longer_leases_waits_as_long_as_before") {
    run(500ms);
    CHECK(has_event("steward takes over", "within 1540 ms"));
    CHECK(stored.longest_lease == 0ms);
    CHECK(stored.to_json().find("longest_lease") == std::string::npos);
}

TEST_CASE("longest_lease_of_a_key_table_is_kept_by_all_its_forms") {
    cw_key_table table;
    table.longest_lease = longer_lease;
    CHECK(cw_key_table::parse(table.to_json())->longest_lease == longer_lease);
    CHECK(cw_key_table::parse(table.to_compact_json())->longest_lease == longer_lease);
    const auto changes = cw_key_table::parse_changes(table.changes_since({}).to_json());
    REQUIRE(changes);
    CHECK(cw_key_table{}.with_changes(*changes)->longest_lease == longer_lease);
    // Tables of an earlier release name none.
    CHECK(cw_key_table::parse(cw_key_table{}.to_json())->longest_lease == 0ms);
}
