#include "cw_gateway_fixture.h"
#include "cw_host_report.h"
#include "cw_load_collector.h"
#include "cw_raw_caller.h"
#include "cw_steward_reply.h"
#include "cw_upstream_stats.h"

#include <atomic>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;

namespace {

const cw_boot_time start{1'000s};
constexpr std::uint32_t slots = 6;

cw_shared_load load_of(const std::string& id, std::uint32_t requests,
                       std::chrono::milliseconds age = 0ms) {
    return {id, requests, slots, age};
}

std::vector<std::string> ids_of(const std::vector<cw_shared_load>& loads) {
    std::vector<std::string> ids;
    for (const auto& load : loads) {
        ids.push_back(load.id);
    }
    return ids;
}

/// Responds as an upstream whose service time is 400 ms and which states the given load.
cw_raw_upstream::script respond(const std::string& load) {
    return [load](const std::string& request) {
        return cw_raw_upstream::reply{
            .bytes = cw_upstream_answer(request, "200 OK",
                                        "X-Cuminwinch-Response-Signature: s\r\n"
                                        "X-Cuminwinch-Instance-Load: " +
                                            load + "\r\n",
                                        "fine"),
            .delay = 400ms};
    };
}

/// Responds like respond(), with one load in the first response and another one in all later ones.
cw_raw_upstream::script respond_twice(const std::string& first, const std::string& later,
                                      bool states_slowdown) {
    const std::string slowdown = states_slowdown ? ",100" : "";
    const auto count = std::make_shared<std::atomic<int>>(0);
    return [=](const std::string& request) {
        return respond((++*count == 1 ? first : later) + slowdown)(request);
    };
}

const std::string key_headers = "X-Cuminwinch-Attempt-Id: r1\r\n"
                                "X-Cuminwinch-Request-Timeout-Ms: 2000\r\n"
                                "X-Cuminwinch-Shard-Key: 7\r\n";

} // namespace

// A host of many hears from an upstream every few seconds, so it sends to full ones.
TEST_CASE("collector_names_the_upstreams_without_a_free_slot_the_fullest_first") {
    cw_load_collector collector;
    collector.on_report({load_of("free", 5), load_of("full", 6), load_of("queue", 20)}, start);
    CHECK(ids_of(collector.full_upstreams(start)) == std::vector<std::string>{"queue", "full"});
}

TEST_CASE("collector_goes_by_the_youngest_load_whatever_the_order_of_the_reports") {
    cw_load_collector collector;
    collector.on_report({load_of("u", 4, 50ms)}, start);
    collector.on_report({load_of("u", 20, 300ms)}, start);
    CHECK(collector.full_upstreams(start).empty());
    collector.on_report({load_of("u", 9, 10ms)}, start);
    CHECK(collector.full_upstreams(start).size() == 1);
}

// Requests would be refused for an upstream that has become free long ago.
TEST_CASE("collector_forgets_a_load_and_names_its_age_until_then") {
    cw_load_collector collector;
    collector.on_report({load_of("u", 9, 200ms), load_of("old", 9, 801ms)}, start);
    const auto named = collector.full_upstreams(start + 100ms);
    REQUIRE(named.size() == 1);
    CHECK(named.front().age == 300ms);
    CHECK(collector.full_upstreams(start + 601ms).empty());
    CHECK(collector.size() == 0);
}

TEST_CASE("collector_ignores_loads_without_slots_and_takes_a_negative_age_for_none") {
    cw_load_collector collector;
    collector.on_report({{"none", 9, 0, 0ms}, load_of("early", 9, -10min)}, start);
    CHECK(ids_of(collector.full_upstreams(start)) == std::vector<std::string>{"early"});
    CHECK(collector.full_upstreams(start + 801ms).empty());
}

TEST_CASE("collector_names_a_bounded_number_of_upstreams") {
    cw_load_collector collector;
    for (int i = 0; i < 20'000; ++i) {
        collector.on_report({load_of("u" + std::to_string(i), 9)}, start);
    }
    CHECK(collector.full_upstreams(start).size() == cw_load_collector::max_named);
    CHECK(collector.size() == 16'384);
}

TEST_CASE("loads_are_read_back_from_reports_and_replies_and_bad_ages_are_bounded") {
    cw_host_report report;
    report.service = "s";
    report.host = "h";
    report.loads = {load_of("u", 9, 40ms)};
    const auto read = cw_host_report::parse(report.to_json());
    REQUIRE(read);
    REQUIRE(read->loads.size() == 1);
    CHECK(read->loads.front().requests == 9);
    CHECK(read->loads.front().slots == slots);
    CHECK(read->loads.front().age == 40ms);
    cw_steward_reply reply;
    reply.full_upstreams = {load_of("u", 9, 40ms)};
    CHECK(cw_steward_reply::parse(reply.to_json())->full_upstreams.size() == 1);
    // Hosts of an earlier release send none.
    CHECK(cw_steward_reply::parse(R"({"hosts":2})")->full_upstreams.empty());
    const auto odd = cw_steward_reply::parse(
        R"({"full_upstreams":[["a",9,6,-5],["b",9,6,9223372036854775807]]})");
    REQUIRE(odd);
    CHECK(odd->full_upstreams.front().age == 0ms);
    CHECK(odd->full_upstreams.back().age == 1h);
    CHECK_FALSE(cw_steward_reply::parse(R"({"full_upstreams":[["a"]]})"));
}

TEST_CASE("upstream_stats_take_a_shared_load_unless_they_know_a_later_one") {
    cw_upstream_stats stats;
    stats.on_sent();
    stats.on_answer(400ms, cw_reported_load{6, 2, slots, 1.0, true}, start);
    CHECK(stats.is_known_to_be_full(slots, start));
    stats.on_shared_load(2, start - 10ms);
    CHECK(stats.is_known_to_be_full(slots, start));
    stats.on_shared_load(2, start + 10ms);
    CHECK_FALSE(stats.is_known_to_be_full(slots, start + 10ms));
    stats.on_shared_load(12, start + 20ms);
    CHECK(stats.is_known_to_be_full(slots, start + 20ms));
    CHECK_FALSE(stats.is_known_to_be_full(slots, start + 5s));
}

// Where upstreams state three values, a host without a request there sends one as before.
TEST_CASE("upstream_that_does_not_state_its_slowdown_is_never_known_to_be_full") {
    cw_upstream_stats stats;
    stats.on_sent();
    stats.on_answer(400ms, cw_reported_load{6, 20, slots}, start);
    CHECK_FALSE(stats.is_known_to_be_full(slots, start));
    for (const bool states_slowdown : {false, true}) {
        cw_gateway_fixture gateway{{respond_twice("1,0,6", "6,54,6", states_slowdown)}};
        REQUIRE(cw_status_of(gateway.send("GET", "/key/a", key_headers)) == 200);
        REQUIRE(cw_status_of(gateway.send("GET", "/key/a", key_headers)) == 200);
        const auto third = gateway.send("GET", "/key/a", key_headers);
        CHECK(cw_status_of(third) == (states_slowdown ? 503 : 200));
    }
}

// The slowdown decays from the upstream's own statement, not from the news of another host.
TEST_CASE("upstream_stats_do_not_renew_a_slowdown_with_a_shared_load") {
    cw_upstream_stats stats;
    stats.on_sent();
    stats.on_answer(100ms, cw_reported_load{1, 0, slots, 3.0, true}, start);
    stats.on_shared_load(1, start + 400ms);
    const auto expected =
        std::chrono::duration<double, std::milli>(stats.expected_time(slots, start + 400ms));
    CHECK(expected.count() == doctest::Approx(150.0));
}

// A request that cannot be answered in time is refused before it takes a place in a queue.
TEST_CASE("request_for_an_owner_that_others_know_to_be_full_is_refused_at_once") {
    cw_gateway_fixture gateway{{respond("1,0,6,100")}};
    REQUIRE(cw_status_of(gateway.send("GET", "/key/a", key_headers)) == 200);
    gateway.apply_loads({{"u0", 60, 6, 0ms}});
    const auto before = std::chrono::steady_clock::now();
    const auto refused = gateway.send("GET", "/key/a", key_headers);
    CHECK(std::chrono::steady_clock::now() - before < 200ms);
    CHECK(cw_status_of(refused) == 503);
    CHECK(refused.find("queue is longer") != std::string::npos);
    CHECK_FALSE(cw_header_value(refused, "Retry-After").empty());
    CHECK(gateway.upstream(0).requests() == 1);
    // The news is out of date after a while.
    std::this_thread::sleep_for(3s);
    CHECK(cw_status_of(gateway.send("GET", "/key/a", key_headers)) == 200);
}

TEST_CASE("request_for_an_owner_with_a_free_slot_is_sent_whatever_was_known_before") {
    cw_gateway_fixture gateway{{respond("1,0,6,100")}};
    REQUIRE(cw_status_of(gateway.send("GET", "/key/a", key_headers)) == 200);
    gateway.apply_loads({{"u0", 60, 6, 50ms}});
    gateway.apply_loads({{"u0", 2, 6, 0ms}});
    CHECK(cw_status_of(gateway.send("GET", "/key/a", key_headers)) == 200);
}

// Deployments whose upstreams state three values are served as before.
TEST_CASE("loads_are_passed_on_only_where_upstreams_state_how_slow_their_machines_are") {
    cw_gateway_fixture three{{respond("6,4,6")}};
    CHECK(cw_status_of(three.send("GET", "/key/a", key_headers)) == 200);
    CHECK(three.take_loads("key").empty());
    cw_gateway_fixture four{{respond("6,4,6,100")}};
    CHECK(cw_status_of(four.send("GET", "/key/a", key_headers)) == 200);
    const auto loads = four.take_loads("key");
    REQUIRE(loads.size() == 1);
    CHECK(loads.front().id == "u0");
    CHECK(loads.front().requests == 10);
    CHECK(four.take_loads("key").empty());
}

TEST_CASE("free_slots_are_passed_on_only_of_upstreams_that_were_full") {
    cw_gateway_fixture gateway{{respond("1,0,6,100")}};
    CHECK(cw_status_of(gateway.send("GET", "/key/a", key_headers)) == 200);
    CHECK(gateway.take_loads("key").empty());
    gateway.apply_loads({{"u0", 6, 6, 0ms}});
    CHECK(cw_status_of(gateway.send("GET", "/key/a", key_headers)) == 200);
    REQUIRE(gateway.take_loads("key").size() == 1);
}
