#include "cw_concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace {

using namespace std::chrono_literals;

/// Latency assumed before the first answer.
constexpr std::chrono::nanoseconds initial_latency = 5ms;
/// Weight of one answer in the smoothed latency.
constexpr double latency_weight = 0.1;
/// Half-life of the smoothed latency after the last answer.
constexpr double latency_half_life_seconds = 2.0;
/// Bounds of the backoff before jitter is applied.
constexpr std::chrono::nanoseconds min_backoff = 1ms;
constexpr std::chrono::nanoseconds max_backoff = 64ms;
/// Consecutive failures that eject an upstream.
constexpr std::uint32_t max_consecutive_failures = 3;
/// Length of the first ejection. It doubles with each further one until an answer arrives, at most
/// `max_ejection_doublings` times.
constexpr std::chrono::nanoseconds initial_ejection = 1s;
constexpr std::uint32_t max_ejection_doublings = 5;

} // namespace

cw_concurrency_limiter::cw_concurrency_limiter(cw_limiter_options options, std::uint64_t seed)
    : options_{options},
      engine_{static_cast<std::minstd_rand::result_type>(seed)} {}

bool cw_concurrency_limiter::can_send(cw_time_point now) const {
    const auto limit = options_.adaptive
                           ? std::min(limit_, static_cast<double>(options_.max_in_flight))
                           : static_cast<double>(options_.max_in_flight);
    return now >= backoff_until_ && in_flight_ + 1.0 <= limit;
}

void cw_concurrency_limiter::on_sent(cw_time_point now) {
    ++in_flight_;
    if (answered_at_ == cw_time_point{}) {
        answered_at_ = now;
    }
}

void cw_concurrency_limiter::on_result(cw_attempt_result result, std::chrono::nanoseconds latency,
                                       cw_time_point now) {
    --in_flight_;
    if (!options_.adaptive) {
        return;
    }
    switch (result) {
    case cw_attempt_result::answered:
        consecutive_failures_ = 0;
        consecutive_ejections_ = 0;
        backoff_ = {};
        limit_ = std::min(limit_ + (slow_start_ ? 1.0 : 1.0 / limit_),
                          static_cast<double>(options_.max_in_flight));
        latency_ = latency_.count() == 0
                       ? latency
                       : latency_ + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                        (latency - latency_) * latency_weight);
        answered_at_ = now;
        break;
    case cw_attempt_result::refused_busy:
        on_busy(now);
        break;
    case cw_attempt_result::refused_not_owner:
    case cw_attempt_result::caller_left:
        break;
    case cw_attempt_result::not_connected:
    case cw_attempt_result::connection_lost:
    case cw_attempt_result::timed_out:
    case cw_attempt_result::malformed:
        on_failure(now);
        break;
    }
}

void cw_concurrency_limiter::on_busy(cw_time_point now) {
    slow_start_ = false;
    // Requests that were sent together may be refused together; the limit is halved once for all of
    // them.
    if (now >= decreased_at_ + latency(now)) {
        limit_ = std::max(1.0, limit_ / 2.0);
        decreased_at_ = now;
    }
    backoff_ = std::clamp(backoff_ * 2, std::max(min_backoff, latency(now) / 2), max_backoff);
    // Jitter keeps threads that were refused at the same time from retrying at the same time.
    const auto jitter = 0.5 + static_cast<double>(engine_() % 1'000) / 1'000.0;
    backoff_until_ = now + std::chrono::duration_cast<std::chrono::nanoseconds>(backoff_ * jitter);
}

void cw_concurrency_limiter::on_failure(cw_time_point now) {
    limit_ = std::max(1.0, limit_ / 2.0);
    if (++consecutive_failures_ < max_consecutive_failures) {
        return;
    }
    consecutive_failures_ = 0;
    ejected_until_ =
        now + initial_ejection * (1U << std::min(consecutive_ejections_, max_ejection_doublings));
    ++consecutive_ejections_;
}

std::chrono::nanoseconds cw_concurrency_limiter::latency(cw_time_point now) const {
    if (latency_.count() == 0) {
        return initial_latency;
    }
    const auto age = std::chrono::duration<double>(now - answered_at_).count();
    const auto decay = std::exp2(-std::max(0.0, age) / latency_half_life_seconds);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(latency_ * decay);
}

std::chrono::nanoseconds cw_concurrency_limiter::expected_wait(std::size_t queue_length,
                                                               cw_time_point now) const {
    const std::chrono::nanoseconds backoff_left = backoff_until_ - now;
    // Without an answer there is no measured latency, so the queue is not taken into account.
    if (latency_.count() == 0) {
        return std::max(backoff_left, std::chrono::nanoseconds{0});
    }
    const auto limit = options_.adaptive ? limit_ : static_cast<double>(options_.max_in_flight);
    const auto queue_time =
        latency(now) * (static_cast<double>(queue_length) + 1.0) / std::max(1.0, limit);
    return std::max(std::chrono::duration_cast<std::chrono::nanoseconds>(queue_time), backoff_left);
}
