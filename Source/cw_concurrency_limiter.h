#pragma once

#include "cw_attempt.h"
#include "cw_time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

/// Settings of the concurrency limiter for one upstream.
struct cw_limiter_options {
    /// Upper bound of the limit: the number of slots that is configured for the upstream.
    std::uint32_t max_in_flight = 1;
    /// False for a limit that is always `max_in_flight`, without backoff or ejection.
    bool adaptive = true;
};

/// Limits the number of requests that one traffic thread has in flight at one upstream.
///
/// Many threads of many routers share the upstream's slots without coordination, so each adapts its
/// limit to the upstream's answers (additive increase, multiplicative decrease). The limit starts
/// at 1, so that the threads together don't overload an upstream that has just started. Until the
/// first refusal each answer raises it by 1; afterwards it rises by about 1 for each round of
/// answers. A refusal because the upstream is busy halves the limit and starts a backoff with
/// jitter. A failure halves it as well, and several consecutive failures eject the upstream
/// temporarily.
class cw_concurrency_limiter {
public:
    cw_concurrency_limiter(cw_limiter_options options, std::uint64_t seed);

    /// Changes the upper bound; the configured slots may change while the limiter is in use.
    void set_max_in_flight(std::uint32_t max_in_flight) { options_.max_in_flight = max_in_flight; }

    /// True when no backoff is in effect and one more request fits into the limit.
    [[nodiscard]] bool can_send(cw_time_point now) const;
    /// Counts a request as in flight. Each call is followed by one call of on_result().
    void on_sent(cw_time_point now);
    /// Ends a request and adapts the limit. `latency` is the time from sending to the end of the
    /// attempt.
    void on_result(cw_attempt_result result, std::chrono::nanoseconds latency, cw_time_point now);

    /// True while the upstream should be skipped because of consecutive failures.
    [[nodiscard]] bool is_ejected(cw_time_point now) const { return now < ejected_until_; }
    /// End of the backoff after a refusal; a past time when none is in effect.
    [[nodiscard]] cw_time_point backoff_until() const { return backoff_until_; }
    [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }
    [[nodiscard]] double limit() const { return limit_; }
    /// Smoothed time to an answer. The estimate decays while no answer arrives, so that a slow
    /// upstream is tried again.
    [[nodiscard]] std::chrono::nanoseconds latency(cw_time_point now) const;
    /// Expected wait of a request behind `queue_length` others; 0 before the first answer unless a
    /// backoff is in effect.
    [[nodiscard]] std::chrono::nanoseconds expected_wait(std::size_t queue_length,
                                                         cw_time_point now) const;

private:
    void on_busy(cw_time_point now);
    void on_failure(cw_time_point now);

    cw_limiter_options options_;
    std::minstd_rand engine_;
    double limit_ = 1.0;
    bool slow_start_ = true;
    std::uint32_t in_flight_ = 0;
    std::chrono::nanoseconds latency_{0};
    /// Time of the last answer; that of the first request before there is one.
    cw_time_point answered_at_{};
    cw_time_point decreased_at_{};
    std::chrono::nanoseconds backoff_{0};
    cw_time_point backoff_until_{};
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t consecutive_ejections_ = 0;
    cw_time_point ejected_until_{};
};
