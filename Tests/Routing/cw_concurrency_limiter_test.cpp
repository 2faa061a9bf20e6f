#include "cw_concurrency_limiter.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

/// A limiter for an upstream with three slots that answers after 2 ms.
struct limiter_fixture {
    void answer_requests(int times) {
        for (int i = 0; i < times; ++i) {
            finish_request(cw_attempt_result::answered);
        }
    }

    void finish_request(cw_attempt_result result) {
        limiter.on_sent(now);
        now += 2ms;
        limiter.on_result(result, 2ms, now);
    }

    cw_time_point now{std::chrono::hours{1}};
    cw_concurrency_limiter limiter{{3, true}, 7};
};

} // namespace

TEST_CASE_FIXTURE(limiter_fixture, "limiter_of_cold_upstream_starts_with_one_request") {
    CHECK(limiter.can_send(now));
    limiter.on_sent(now);
    CHECK_FALSE(limiter.can_send(now));
}

TEST_CASE_FIXTURE(limiter_fixture, "limit_rises_with_answers_up_to_the_slots") {
    answer_requests(50);
    for (int i = 0; i < 3; ++i) {
        CHECK(limiter.can_send(now));
        limiter.on_sent(now);
    }
    CHECK_FALSE(limiter.can_send(now));
}

TEST_CASE_FIXTURE(limiter_fixture, "refusal_halves_the_limit_and_starts_a_backoff") {
    answer_requests(50);
    finish_request(cw_attempt_result::refused_busy);
    CHECK(limiter.limit() <= 1.5);
    CHECK_FALSE(limiter.can_send(now));
    CHECK(limiter.backoff_until() > now);
    CHECK(limiter.backoff_until() <= now + 100ms);
    CHECK(limiter.can_send(limiter.backoff_until()));
}

TEST_CASE_FIXTURE(limiter_fixture, "repeated_refusals_lengthen_the_backoff_up_to_its_maximum") {
    for (int i = 0; i < 20; ++i) {
        finish_request(cw_attempt_result::refused_busy);
    }
    CHECK(limiter.backoff_until() > now + 30ms);
    CHECK(limiter.backoff_until() <= now + 100ms);
}

TEST_CASE_FIXTURE(limiter_fixture, "three_consecutive_failures_eject_the_upstream_temporarily") {
    finish_request(cw_attempt_result::not_connected);
    finish_request(cw_attempt_result::not_connected);
    CHECK_FALSE(limiter.is_ejected(now));
    finish_request(cw_attempt_result::not_connected);
    CHECK(limiter.is_ejected(now));
    CHECK_FALSE(limiter.is_ejected(now + 1s));
}

TEST_CASE_FIXTURE(limiter_fixture, "answer_between_failures_prevents_ejection") {
    for (int i = 0; i < 10; ++i) {
        finish_request(cw_attempt_result::connection_lost);
        finish_request(cw_attempt_result::connection_lost);
        finish_request(cw_attempt_result::answered);
        CHECK_FALSE(limiter.is_ejected(now));
    }
}

TEST_CASE_FIXTURE(limiter_fixture,
                  "latency_estimate_decays_so_that_a_slow_upstream_is_tried_again") {
    limiter.on_sent(now);
    limiter.on_result(cw_attempt_result::answered, 100ms, now);
    CHECK(limiter.latency(now) == 100ms);
    CHECK(limiter.latency(now + 10s) < 5ms);
}

TEST_CASE_FIXTURE(limiter_fixture, "expected_wait_is_zero_before_the_first_answer") {
    CHECK(limiter.expected_wait(500, now) == 0ms);
}

TEST_CASE("limit_without_refusals_grows_by_one_per_answer") {
    cw_concurrency_limiter limiter{{1'000, true}, 7};
    const cw_time_point now{std::chrono::hours{1}};
    for (int i = 0; i < 1'000; ++i) {
        limiter.on_sent(now);
        limiter.on_result(cw_attempt_result::answered, 1ms, now);
    }
    CHECK(limiter.limit() == 1'000.0);
}

TEST_CASE_FIXTURE(limiter_fixture, "expected_wait_grows_with_the_queue") {
    answer_requests(50);
    CHECK(limiter.expected_wait(30, now) > limiter.expected_wait(3, now));
    CHECK(limiter.expected_wait(30, now) >= 15ms);
}

TEST_CASE("fixed_limiter_allows_all_slots_from_the_start") {
    cw_concurrency_limiter limiter{{2, false}, 7};
    const cw_time_point now{std::chrono::hours{1}};
    limiter.on_sent(now);
    CHECK(limiter.can_send(now));
    limiter.on_result(cw_attempt_result::refused_busy, 1ms, now);
    CHECK(limiter.can_send(now));
}
