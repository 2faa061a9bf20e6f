#include "cw_pipeline_order.h"

#include <doctest/doctest.h>
#include <optional>
#include <random>
#include <set>

using mode = cw_pipeline_order::mode;

namespace {

/// Starts a request if that is allowed; its number, or none.
std::optional<cw_pipeline_order::number> try_start(cw_pipeline_order& order, mode next) {
    return order.may_start(next) ? std::optional{order.start(next)} : std::nullopt;
}

} // namespace

// Guards against answers in the order in which the requests end.
TEST_CASE("pipeline_answers_in_the_order_of_the_requests") {
    cw_pipeline_order order;
    const auto first = order.start(mode::concurrent);
    const auto second = order.start(mode::concurrent);
    const auto third = order.start(mode::concurrent);
    CHECK(!order.next_answer());
    order.finish(third);
    order.finish(second);
    CHECK(!order.next_answer());
    order.finish(first);
    for (const auto expected : {first, second, third}) {
        CHECK(order.next_answer() == expected);
        order.on_answered();
    }
    CHECK(!order.next_answer());
    CHECK(order.in_progress() == 0);
}

TEST_CASE("pipeline_has_at_most_eight_requests_in_progress") {
    cw_pipeline_order order;
    for (int i = 0; i < 8; ++i) {
        REQUIRE(try_start(order, mode::concurrent));
    }
    CHECK(!order.may_read_ahead());
    CHECK(!order.may_start(mode::concurrent));
    order.finish(2);
    CHECK(!order.may_start(mode::concurrent));
    order.finish(1);
    CHECK(!order.may_start(mode::concurrent));
    order.on_answered();
    CHECK(order.may_start(mode::concurrent));
}

// Guards against a request that is not idempotent and runs beside others of its connection.
TEST_CASE("pipeline_runs_a_request_that_is_not_idempotent_alone") {
    cw_pipeline_order order;
    const auto first = order.start(mode::concurrent);
    CHECK(!order.may_start(mode::alone));
    order.hold_next();
    CHECK(!order.may_read_ahead());
    order.finish(first);
    CHECK(!order.may_start(mode::alone));
    order.on_answered();
    const auto second = try_start(order, mode::alone);
    REQUIRE(second);
    CHECK(!order.may_read_ahead());
    CHECK(!order.may_start(mode::concurrent));
    order.finish(*second);
    CHECK(!order.may_start(mode::concurrent));
    order.on_answered();
    CHECK(order.may_start(mode::concurrent));
}

TEST_CASE("pipeline_reads_nothing_behind_the_last_request") {
    cw_pipeline_order order;
    order.start(mode::concurrent);
    CHECK(order.may_start(mode::last));
    order.start(mode::last);
    CHECK(!order.may_read_ahead());
    CHECK(!order.may_start(mode::concurrent));
}

TEST_CASE("pipeline_that_is_closed_starts_nothing_and_answers_what_is_in_progress") {
    cw_pipeline_order order;
    const auto first = order.start(mode::concurrent);
    order.close();
    CHECK(!order.may_read_ahead());
    CHECK(!order.may_start(mode::concurrent));
    order.finish(first);
    CHECK(order.next_answer() == first);
    order.on_answered();
    CHECK(!order.may_start(mode::concurrent));
}

TEST_CASE("pipeline_held_reads_ahead_again_once_all_are_answered") {
    cw_pipeline_order order;
    const auto first = order.start(mode::concurrent);
    const auto second = order.start(mode::concurrent);
    order.hold_next();
    order.finish(first);
    order.on_answered();
    CHECK(!order.may_read_ahead());
    order.finish(second);
    order.on_answered();
    order.start(mode::concurrent);
    CHECK(order.may_read_ahead());
}

// Guards against an order of events that breaks a bound: random events, with the bounds checked
// after each.
TEST_CASE("pipeline_keeps_its_bounds_in_any_order_of_events") {
    for (unsigned seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937 random{seed};
        cw_pipeline_order order;
        std::set<cw_pipeline_order::number> running;
        std::set<cw_pipeline_order::number> alone;
        cw_pipeline_order::number last_answered = 0;
        for (int step = 0; step < 200; ++step) {
            const auto next = random() % 5 == 0 ? mode::alone : mode::concurrent;
            if (const auto started = random() % 2 == 0 ? try_start(order, next) : std::nullopt) {
                running.insert(*started);
                if (next == mode::alone) {
                    alone.insert(*started);
                }
            } else if (!running.empty() && random() % 2 == 0) {
                const auto ended =
                    std::next(running.begin(), static_cast<long>(random() % running.size()));
                order.finish(*ended);
                running.erase(ended);
            } else if (const auto answered = order.next_answer()) {
                CHECK(*answered == last_answered + 1);
                CHECK(!running.contains(*answered));
                last_answered = *answered;
                alone.erase(*answered);
                order.on_answered();
            }
            CHECK(order.in_progress() <= 8);
            CHECK((alone.empty() || order.in_progress() == 1));
        }
    }
}
