#include "cw_select_upstream.h"
#include "cw_upstream_entry.h"
#include "cw_upstream_stats.h"

#include <doctest/doctest.h>
#include <limits>
#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

const cw_boot_time start{1'000s};
constexpr std::uint32_t slots = 6;

void answer(cw_upstream_stats& stats, std::chrono::milliseconds latency, double slowdown,
            cw_boot_time at) {
    stats.on_sent();
    stats.on_answer(latency, cw_reported_load{1, 0, slots, slowdown}, at);
}

double expected_ms(const cw_upstream_stats& stats, cw_boot_time at) {
    return std::chrono::duration<double, std::milli>(stats.expected_time(slots, at)).count();
}

} // namespace

// Guards against an upstream that passes for three times as fast as it is, because its machine
// turned slow at the end of a request. All hosts then send to it until its queue is full.
TEST_CASE("upstream_stats_keep_the_service_time_of_a_request_that_ends_on_a_slowed_machine") {
    cw_upstream_stats stats;
    for (int i = 0; i < 50; ++i) {
        answer(stats, 100ms, i % 5 == 0 ? 3.0 : 1.0, start + i * 400ms);
    }
    CHECK(std::chrono::duration<double>(stats.service_time()).count() == doctest::Approx(0.1));
}

// Guards against requests to a machine that is known to take three times as long at this moment,
// and against a slowdown that is believed long after it was reported.
TEST_CASE("upstream_stats_expect_the_reported_slowdown_which_decays_to_the_usual") {
    cw_upstream_stats stats;
    answer(stats, 100ms, 3.0, start);
    CHECK(expected_ms(stats, start) == doctest::Approx(300.0));
    CHECK(expected_ms(stats, start + 200ms) == doctest::Approx(200.0));
    CHECK(expected_ms(stats, start + 400ms) == doctest::Approx(150.0));
    CHECK(expected_ms(stats, start + 5s) == doctest::Approx(100.0).epsilon(0.001));
    answer(stats, 50ms, 0.5, start + 10s);
    CHECK(expected_ms(stats, start + 10s) == doctest::Approx(46.25));
    CHECK(expected_ms(stats, start + 10s + 200ms) == doctest::Approx(69.375));
}

// Guards against a slowdown that outlives the report of the usual speed, or that a report without
// a load ends.
TEST_CASE("upstream_stats_replace_the_slowdown_by_that_of_the_next_report") {
    cw_upstream_stats stats;
    answer(stats, 100ms, 3.0, start);
    stats.on_sent();
    stats.on_answer(100ms, std::nullopt, start);
    CHECK(expected_ms(stats, start) == doctest::Approx(300.0));
    stats.on_sent();
    stats.on_busy(cw_reported_load{1, 0, slots}, start);
    CHECK(expected_ms(stats, start) == doctest::Approx(100.0));
    stats.on_sent();
    stats.on_busy(cw_reported_load{1, 0, slots, 2.0}, start);
    CHECK(expected_ms(stats, start) == doctest::Approx(200.0));
}

// Guards against capacities of the owners of keys that follow from a speed at which no request ran.
TEST_CASE("upstream_stats_return_the_service_time_at_the_speed_at_which_the_request_ran") {
    cw_upstream_stats stats;
    stats.on_sent();
    CHECK(stats.on_answer(300ms, cw_reported_load{1, 0, slots, 3.0}, start) ==
          doctest::Approx(0.3));
}

TEST_CASE("upstream_selection_prefers_an_upstream_that_is_not_slowed_down") {
    cw_upstream_entry slow;
    slow.id = "slow";
    slow.service = "s";
    slow.address = "10.0.0.1:1";
    slow.domain = "z";
    slow.slots = slots;
    auto usual = slow;
    usual.id = "usual";
    std::map<std::string, cw_upstream_stats> stats;
    answer(stats["slow"], 80ms, 3.0, start);
    answer(stats["usual"], 100ms, 1.0, start);
    const auto chosen_at = [&](cw_boot_time at) {
        return cw_select_upstream(
                   {slow, usual}, {"z", 1s, nullptr, 0},
                   [&](const auto& entry) -> const auto& { return stats[entry.id]; }, at)
            ->id;
    };
    CHECK(chosen_at(start) == "usual");
    CHECK(chosen_at(start + 3s) == "slow");
}

// Guards against an overflow that makes an upstream with an endless queue the best of all.
TEST_CASE("upstream_stats_expect_a_long_time_of_an_upstream_that_reports_huge_numbers") {
    constexpr auto huge = std::numeric_limits<std::uint32_t>::max();
    cw_upstream_stats stats;
    stats.on_sent();
    stats.on_answer(2s, cw_reported_load{huge, huge, 100'000, 0.01}, start);
    stats.on_sent();
    stats.on_answer(20s, cw_reported_load{0, 0, 1, 0.01}, start);
    stats.on_sent();
    stats.on_busy(cw_reported_load{huge, huge, 1, 1'000.0}, start);
    CHECK(stats.expected_time(1, start) == 1h);
}

TEST_CASE("upstream_stats_name_an_invalid_load_once") {
    cw_upstream_stats stats;
    CHECK(stats.on_invalid_load());
    CHECK_FALSE(stats.on_invalid_load());
    CHECK_FALSE(stats.on_invalid_load());
    CHECK(cw_upstream_stats{}.on_invalid_load());
}
