#pragma once

#include <cstdint>

/// How one attempt to have a request run by an upstream ended.
enum class cw_attempt_result {
    /// A whole answer arrived.
    answered,
    /// No connection was made, so nothing was sent.
    not_connected,
    /// The upstream refused by its word: it does not own the key or holds a newer fence.
    refused_not_owner,
    /// The upstream refused by its word: all slots are taken, or it is draining.
    refused_busy,
    /// The connection ended after something was sent and before the whole answer.
    connection_lost,
    /// The deadline passed after something was sent.
    timed_out,
    /// The answer cannot be read as HTTP or lacks a part.
    malformed,
    /// The caller went away; the upstream was told so by the end of its connection.
    caller_left
};

/// What the router does after an attempt.
enum class cw_next_step {
    forward_answer,
    /// Look the owner up again, waiting a little for a newer table, and try there.
    retry,
    /// Answer that the request did not run, and when to come back.
    refuse,
    /// Answer that the request may have run.
    report_unknown
};

/// Attempts per request, the first included.
inline constexpr std::uint32_t cw_max_attempts = 3;

/// Attempts per request while upstreams answer that they do not own the key. Such refusals cost
/// them next to nothing and end with the hand-over, so they take no token of the retry budget.
inline constexpr std::uint32_t cw_max_not_owner_attempts = 12;

/// What is known of a request when an attempt has ended.
struct cw_retry_state {
    /// True when the request may be sent again although it may have run.
    bool idempotent = false;
    /// True when any attempt so far may have run.
    bool may_have_run = false;
    std::uint32_t attempts = 1;
    /// True when the retry budget has a token left.
    bool has_retry_token = true;
    /// True when the caller's deadline leaves time for another attempt.
    bool has_time_left = true;
    /// Attempts that the request may have.
    std::uint32_t max_attempts = cw_max_attempts;
    /// Attempts that it may have while upstreams answer that they do not own the key.
    std::uint32_t max_not_owner_attempts = cw_max_not_owner_attempts;
};

/// Only what surely did not run, or may run twice, is tried again.
[[nodiscard]] cw_next_step cw_decide_next_step(cw_attempt_result result,
                                               const cw_retry_state& state);

/// True when the request surely did not run.
[[nodiscard]] bool cw_has_not_run(cw_attempt_result result);
