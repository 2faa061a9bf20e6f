#include "cw_attempt.h"

bool cw_has_not_run(cw_attempt_result result) {
    return result == cw_attempt_result::not_connected ||
           result == cw_attempt_result::refused_not_owner ||
           result == cw_attempt_result::refused_busy;
}

cw_next_step cw_decide_next_step(cw_attempt_result result, const cw_retry_state& state) {
    if (result == cw_attempt_result::answered) {
        return cw_next_step::forward_answer;
    }
    const bool did_not_run = cw_has_not_run(result);
    const bool is_not_owner = result == cw_attempt_result::refused_not_owner;
    const auto attempt_limit = is_not_owner ? state.max_not_owner_attempts : state.max_attempts;
    const bool is_retry_allowed = state.attempts < attempt_limit &&
                                  (state.has_retry_token || is_not_owner) && state.has_time_left;
    const bool is_safe_to_repeat =
        did_not_run || (state.idempotent && result != cw_attempt_result::timed_out);
    if (is_safe_to_repeat && is_retry_allowed) {
        return cw_next_step::retry;
    }
    // The answer may state that the request did not run only if no earlier attempt may have run.
    return did_not_run && !state.may_have_run ? cw_next_step::refuse : cw_next_step::report_unknown;
}
