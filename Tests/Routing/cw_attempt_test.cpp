#include "cw_attempt.h"
#include "cw_retry_budget.h"

#include <array>
#include <doctest/doctest.h>

namespace {

constexpr std::array may_have_run{cw_attempt_result::connection_lost, cw_attempt_result::timed_out,
                                  cw_attempt_result::malformed};
constexpr std::array did_not_run{cw_attempt_result::not_connected,
                                 cw_attempt_result::refused_not_owner,
                                 cw_attempt_result::refused_busy};

} // namespace

TEST_CASE("answer_of_the_upstream_is_forwarded") {
    CHECK(cw_decide_next_step(cw_attempt_result::answered, {}) == cw_next_step::forward_answer);
}

TEST_CASE("request_not_idempotent_that_may_have_run_is_never_sent_again") {
    for (const auto result : may_have_run) {
        CHECK(cw_decide_next_step(result, {.idempotent = false}) == cw_next_step::report_unknown);
    }
}

TEST_CASE("request_that_did_not_run_is_tried_again_or_refused_and_never_unknown") {
    for (const auto result : did_not_run) {
        CHECK(cw_decide_next_step(result, {}) == cw_next_step::retry);
        CHECK(cw_decide_next_step(result, {.attempts = cw_max_not_owner_attempts}) ==
              cw_next_step::refuse);
        CHECK(cw_decide_next_step(result, {.has_time_left = false}) == cw_next_step::refuse);
    }
}

TEST_CASE("request_idempotent_is_tried_again_after_a_lost_connection") {
    CHECK(cw_decide_next_step(cw_attempt_result::connection_lost, {.idempotent = true}) ==
          cw_next_step::retry);
    CHECK(cw_decide_next_step(cw_attempt_result::timed_out, {.idempotent = true}) ==
          cw_next_step::report_unknown);
}

TEST_CASE("request_refused_after_an_attempt_that_may_have_run_is_unknown") {
    for (const auto result : did_not_run) {
        CHECK(cw_decide_next_step(result, {.idempotent = true,
                                           .may_have_run = true,
                                           .attempts = cw_max_not_owner_attempts}) ==
              cw_next_step::report_unknown);
    }
}

TEST_CASE("retry_without_budget_is_refused_at_once") {
    CHECK(cw_decide_next_step(cw_attempt_result::not_connected, {.has_retry_token = false}) ==
          cw_next_step::refuse);
}

TEST_CASE("budget_allows_a_tenth_of_the_requests_as_retries") {
    cw_retry_budget budget{0.1, 5.0};
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.on_request();
        if (budget.has_token()) {
            budget.take_token();
            ++retries;
        }
    }
    CHECK(retries <= 105);
    CHECK(retries >= 95);
}
