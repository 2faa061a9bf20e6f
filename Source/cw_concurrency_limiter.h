#pragma once

#include "cw_attempt.h"
#include "cw_time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

/// Limits of one upstream as one traffic thread keeps them.
struct cw_limiter_options {
    /// Requests in flight that the upstream is said to bear; the limit never passes it.
    std::uint32_t max_in_flight = 1;
    /// False for a limit that is always `most`, without backoff or ejection.
    bool adaptive = true;
};

/// Decides how many requests one traffic thread has in flight at one upstream.
///
/// Many threads of many routers share the upstream's slots without telling each other: each finds
/// its share by the upstream's answers. A limit starts at one, so a cold upstream is not met by a
/// crowd, and rises with each answer until the first refusal; from then on by about one for each
/// round of answers. A refusal halves it and keeps the thread away for a while.
class cw_concurrency_limiter {
public:
    cw_concurrency_limiter(cw_limiter_options options, std::uint64_t seed);

    /// The configuration may change the slots while the gate is in use.
    void set_max_in_flight(std::uint32_t max_in_flight) { options_.max_in_flight = max_in_flight; }

    /// True when one more request may be sent now.
    [[nodiscard]] bool can_send(cw_time_point now) const;
    void on_sent(cw_time_point now);
    /// `latency` is the time from sending to the end of the attempt.
    void on_result(cw_attempt_result result, std::chrono::nanoseconds latency, cw_time_point now);

    /// True while recent failures speak against choosing this upstream when there are others.
    [[nodiscard]] bool is_ejected(cw_time_point now) const { return now < ejected_until_; }
    /// Moment from which a refusal no longer keeps this thread away.
    [[nodiscard]] cw_time_point backoff_until() const { return backoff_until_; }
    [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }
    [[nodiscard]] double limit() const { return limit_; }
    /// Smoothed time to an answer. An estimate that has not been renewed fades, so that a slow
    /// upstream is tried again.
    [[nodiscard]] std::chrono::nanoseconds latency(cw_time_point now) const;
    /// Time that a request behind `waiting` others will wait for its turn.
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
    cw_time_point answered_at_{};
    cw_time_point decreased_at_{};
    std::chrono::nanoseconds backoff_{0};
    cw_time_point backoff_until_{};
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t consecutive_ejections_ = 0;
    cw_time_point ejected_until_{};
};
