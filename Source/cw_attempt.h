#pragma once

#include <cstdint>

/// Result of one attempt to send a request to an upstream and receive the answer.
enum class cw_attempt_result {
    /// A complete answer arrived.
    answered,
    /// The connection could not be established, so nothing was sent.
    not_connected,
    /// The upstream rejected the request without running it: it does not own the key or holds a
    /// higher fence.
    refused_not_owner,
    /// The upstream rejected the request without running it: all slots are in use, or it is
    /// draining.
    refused_busy,
    /// The connection ended after sending had begun and before the complete answer had arrived.
    connection_lost,
    /// The deadline passed after sending had begun.
    timed_out,
    /// The answer is not valid HTTP, is incomplete or does not belong to the request.
    malformed,
    /// The caller disconnected; closing the connection to the upstream cancelled the request there.
    caller_left
};

/// What a router or gateway does after an attempt.
enum class cw_next_step {
    /// Send the upstream's answer to the caller.
    forward_answer,
    /// Look up the owner again, wait briefly for a newer table, and send the request there.
    retry,
    /// Answer that the request did not run and state a retry-after time.
    refuse,
    /// Answer that the request may have run.
    report_unknown
};

/// Maximum number of attempts per request, including the first.
inline constexpr std::uint32_t cw_max_attempts = 3;

/// Maximum number of attempts per request while upstreams answer that they do not own the key. Such
/// refusals cost an upstream almost nothing and end when the hand-over is complete, so these
/// retries take no token from the retry budget.
inline constexpr std::uint32_t cw_max_not_owner_attempts = 12;

/// State of a request after an attempt, from which the next step is decided.
struct cw_retry_state {
    /// True when the request may safely run more than once.
    bool idempotent = false;
    /// True when the upstream may have run the request in any attempt so far.
    bool may_have_run = false;
    /// Attempts made so far.
    std::uint32_t attempts = 1;
    /// True when the retry budget has a token left.
    bool has_retry_token = true;
    /// True when the caller's deadline leaves time for another attempt.
    bool has_time_left = true;
    /// Maximum number of attempts.
    std::uint32_t max_attempts = cw_max_attempts;
    /// Maximum number of attempts while upstreams answer that they do not own the key.
    std::uint32_t max_not_owner_attempts = cw_max_not_owner_attempts;
};

/// Chooses the next step after an attempt. A request is sent again only if it has certainly not run
/// or may run more than once.
[[nodiscard]] cw_next_step cw_decide_next_step(cw_attempt_result result,
                                               const cw_retry_state& state);

/// True when the result proves that the upstream did not run the request.
[[nodiscard]] bool cw_has_not_run(cw_attempt_result result);
