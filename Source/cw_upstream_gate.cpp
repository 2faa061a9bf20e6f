#include "cw_upstream_gate.h"

#include <algorithm>
#include <cmath>

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::nanoseconds first_latency = 5ms;
constexpr double latency_weight = 0.1;
/// Time after the last answer in which the estimate of the latency halves.
constexpr double latency_half_life_seconds = 2.0;
constexpr std::chrono::nanoseconds least_backoff = 1ms;
constexpr std::chrono::nanoseconds most_backoff = 64ms;
/// Failures in a row that eject an upstream.
constexpr std::uint32_t most_failures = 3;
constexpr std::chrono::nanoseconds first_ejection = 1s;
constexpr std::uint32_t most_doublings = 5;

} // namespace

cw_upstream_gate::cw_upstream_gate(cw_gate_options options, std::uint64_t seed)
    : options_{options},
      engine_{static_cast<std::minstd_rand::result_type>(seed)} {}

bool cw_upstream_gate::may_send(cw_time_point now) const {
    const auto limit = options_.adaptive ? std::min(limit_, static_cast<double>(options_.most))
                                         : static_cast<double>(options_.most);
    return now >= backoff_until_ && in_flight_ + 1.0 <= limit;
}

void cw_upstream_gate::on_sent(cw_time_point now) {
    ++in_flight_;
    if (answered_at_ == cw_time_point{}) {
        answered_at_ = now;
    }
}

void cw_upstream_gate::on_result(cw_attempt_result result, std::chrono::nanoseconds latency,
                                 cw_time_point now) {
    --in_flight_;
    if (!options_.adaptive) {
        return;
    }
    switch (result) {
    case cw_attempt_result::answered:
        failures_ = 0;
        ejections_ = 0;
        backoff_ = {};
        limit_ = std::min(limit_ + (slow_start_ ? 1.0 : 1.0 / limit_),
                          static_cast<double>(options_.most));
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

void cw_upstream_gate::on_busy(cw_time_point now) {
    slow_start_ = false;
    // Refusals of requests that were sent together count once.
    if (now >= decreased_at_ + latency(now)) {
        limit_ = std::max(1.0, limit_ / 2.0);
        decreased_at_ = now;
    }
    backoff_ = std::clamp(backoff_ * 2, std::max(least_backoff, latency(now) / 2), most_backoff);
    // Threads that were refused together should not come back together.
    const auto spread = 0.5 + static_cast<double>(engine_() % 1'000) / 1'000.0;
    backoff_until_ = now + std::chrono::duration_cast<std::chrono::nanoseconds>(backoff_ * spread);
}

void cw_upstream_gate::on_failure(cw_time_point now) {
    limit_ = std::max(1.0, limit_ / 2.0);
    if (++failures_ < most_failures) {
        return;
    }
    failures_ = 0;
    ejected_until_ = now + first_ejection * (1U << std::min(ejections_, most_doublings));
    ++ejections_;
}

std::chrono::nanoseconds cw_upstream_gate::latency(cw_time_point now) const {
    if (latency_.count() == 0) {
        return first_latency;
    }
    const auto age = std::chrono::duration<double>(now - answered_at_).count();
    const auto fade = std::exp2(-std::max(0.0, age) / latency_half_life_seconds);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(latency_ * fade);
}

std::chrono::nanoseconds cw_upstream_gate::expected_wait(std::size_t waiting,
                                                         cw_time_point now) const {
    const std::chrono::nanoseconds away = backoff_until_ - now;
    // Before the first answer nothing speaks against waiting.
    if (latency_.count() == 0) {
        return std::max(away, std::chrono::nanoseconds{0});
    }
    const auto limit = options_.adaptive ? limit_ : static_cast<double>(options_.most);
    const auto queued = latency(now) * (static_cast<double>(waiting) + 1.0) / std::max(1.0, limit);
    return std::max(std::chrono::duration_cast<std::chrono::nanoseconds>(queued), away);
}
