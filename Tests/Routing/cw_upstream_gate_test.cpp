#include "cw_upstream_gate.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

/// A gate before an upstream with three slots that answers after 2 ms.
struct used_gate {
    void answer(int times) {
        for (int i = 0; i < times; ++i) {
            send_and_get(cw_attempt_result::answered);
        }
    }

    void send_and_get(cw_attempt_result result) {
        gate.on_sent(now);
        now += 2ms;
        gate.on_result(result, 2ms, now);
    }

    cw_time_point now{std::chrono::hours{1}};
    cw_upstream_gate gate{{3, true}, 7};
};

} // namespace

TEST_CASE_FIXTURE(used_gate, "gate_of_cold_upstream_starts_with_one_request") {
    CHECK(gate.may_send(now));
    gate.on_sent(now);
    CHECK_FALSE(gate.may_send(now));
}

TEST_CASE_FIXTURE(used_gate, "gate_after_answers_opens_up_to_the_slots_and_no_further") {
    answer(50);
    for (int i = 0; i < 3; ++i) {
        CHECK(gate.may_send(now));
        gate.on_sent(now);
    }
    CHECK_FALSE(gate.may_send(now));
}

TEST_CASE_FIXTURE(used_gate, "gate_refused_keeps_away_for_a_while_and_halves") {
    answer(50);
    send_and_get(cw_attempt_result::refused_busy);
    CHECK(gate.limit() <= 1.5);
    CHECK_FALSE(gate.may_send(now));
    CHECK(gate.backoff_until() > now);
    CHECK(gate.backoff_until() <= now + 100ms);
    CHECK(gate.may_send(gate.backoff_until()));
}

TEST_CASE_FIXTURE(used_gate, "gate_refused_again_and_again_backs_off_longer_within_bounds") {
    for (int i = 0; i < 20; ++i) {
        send_and_get(cw_attempt_result::refused_busy);
    }
    CHECK(gate.backoff_until() > now + 30ms);
    CHECK(gate.backoff_until() <= now + 100ms);
}

TEST_CASE_FIXTURE(used_gate, "gate_failing_three_times_is_ejected_and_tried_again_later") {
    send_and_get(cw_attempt_result::not_connected);
    send_and_get(cw_attempt_result::not_connected);
    CHECK_FALSE(gate.is_ejected(now));
    send_and_get(cw_attempt_result::not_connected);
    CHECK(gate.is_ejected(now));
    CHECK_FALSE(gate.is_ejected(now + 1s));
}

TEST_CASE_FIXTURE(used_gate, "gate_answered_between_failures_is_not_ejected") {
    for (int i = 0; i < 10; ++i) {
        send_and_get(cw_attempt_result::connection_lost);
        send_and_get(cw_attempt_result::connection_lost);
        send_and_get(cw_attempt_result::answered);
        CHECK_FALSE(gate.is_ejected(now));
    }
}

TEST_CASE_FIXTURE(used_gate, "latency_not_renewed_fades_so_that_a_slow_upstream_is_tried_again") {
    gate.on_sent(now);
    gate.on_result(cw_attempt_result::answered, 100ms, now);
    CHECK(gate.latency(now) == 100ms);
    CHECK(gate.latency(now + 10s) < 5ms);
}

TEST_CASE_FIXTURE(used_gate, "wait_before_the_first_answer_is_not_held_against_a_crowd") {
    CHECK(gate.expected_wait(500, now) == 0ms);
}

TEST_CASE("gate_unrefused_opens_to_many_slots_within_as_many_answers") {
    cw_upstream_gate gate{{1'000, true}, 7};
    const cw_time_point now{std::chrono::hours{1}};
    for (int i = 0; i < 1'000; ++i) {
        gate.on_sent(now);
        gate.on_result(cw_attempt_result::answered, 1ms, now);
    }
    CHECK(gate.limit() == 1'000.0);
}

TEST_CASE_FIXTURE(used_gate, "wait_expected_grows_with_the_queue") {
    answer(50);
    CHECK(gate.expected_wait(30, now) > gate.expected_wait(3, now));
    CHECK(gate.expected_wait(30, now) >= 15ms);
}

TEST_CASE("gate_fixed_lets_all_slots_be_used_from_the_start") {
    cw_upstream_gate gate{{2, false}, 7};
    const cw_time_point now{std::chrono::hours{1}};
    gate.on_sent(now);
    CHECK(gate.may_send(now));
    gate.on_result(cw_attempt_result::refused_busy, 1ms, now);
    CHECK(gate.may_send(now));
}
