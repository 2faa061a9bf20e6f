#include "cw_upstream_stats.h"

#include <algorithm>
#include <cmath>

namespace {

using namespace std::chrono_literals;

/// Service time assumed of an upstream that has not answered yet.
constexpr double initial_service_seconds = 0.1;
/// Weight of one answer in the smoothed service time.
constexpr double service_weight = 0.15;
/// Half-life of the last known load by other hosts.
constexpr double load_half_life_seconds = 0.6;
/// Half-life of the last known slowdown. Upstreams change their speed about every 0.4 s.
constexpr double slowdown_half_life_seconds = 0.2;
/// Longest time that is expected. An upstream may report any number of waiting requests, and the
/// product must not exceed the range of the type.
constexpr double max_expected_seconds = 3'600.0;
/// Time for which an upstream is skipped after it refused a request as busy.
constexpr auto busy_avoidance = 60ms;
/// Consecutive failures from which an upstream is skipped, and for how long at first. The time
/// doubles with each further failure, at most `max_doublings` times.
constexpr std::uint32_t failure_threshold = 2;
constexpr auto initial_avoidance = 500ms;
constexpr std::uint32_t max_doublings = 2;
/// Backoff after the first shed request.
constexpr auto initial_shed_backoff = 100ms;

} // namespace

void cw_upstream_stats::record_load(std::optional<cw_reported_load> load, cw_boot_time now) {
    if (load) {
        const auto total = static_cast<double>(load->running) + load->waiting;
        other_hosts_load_ = std::max(0.0, total - in_flight_);
        reported_slowdown_ = load->slowdown;
        is_load_shared_ = load->states_slowdown;
        load_reported_at_ = now;
    }
}

void cw_upstream_stats::on_shared_load(std::uint32_t requests, cw_boot_time stated_at) {
    if (stated_at <= load_reported_at_) {
        return;
    }
    reported_slowdown_ = slowdown(stated_at);
    other_hosts_load_ = std::max(0.0, static_cast<double>(requests) - in_flight_);
    load_reported_at_ = stated_at;
    is_load_shared_ = true;
}

double cw_upstream_stats::on_answer(std::chrono::nanoseconds latency,
                                    std::optional<cw_reported_load> load, cw_boot_time now) {
    --in_flight_;
    consecutive_failures_ = 0;
    consecutive_sheds_ = 0;
    consecutive_oversized_ = 0;
    avoided_until_ = {};
    answers_ = std::min(answers_ + 1, enough_answers);
    record_load(load, now);
    // The latency includes the wait for a slot. Its length is estimated from the load that the
    // upstream reported when it sent the answer.
    const double queued =
        load && load->slots > 0
            ? std::max(1.0, (static_cast<double>(load->running) + load->waiting) / load->slots)
            : 1.0;
    const double seconds = std::chrono::duration<double>(latency).count() / queued;
    // Not divided by the slowdown: it states the speed at the end of the request, and the speed may
    // have changed while the request ran.
    service_seconds_ = service_seconds_ == 0.0
                           ? seconds
                           : service_seconds_ + service_weight * (seconds - service_seconds_);
    return seconds;
}

void cw_upstream_stats::on_busy(std::optional<cw_reported_load> load, cw_boot_time now) {
    --in_flight_;
    record_load(load, now);
    avoided_until_ = std::max(avoided_until_, now + busy_avoidance);
}

void cw_upstream_stats::on_failure(cw_boot_time now) {
    --in_flight_;
    if (++consecutive_failures_ >= failure_threshold) {
        const auto doublings = std::min(consecutive_failures_ - failure_threshold, max_doublings);
        avoided_until_ = now + initial_avoidance * (1U << doublings);
    }
}

void cw_upstream_stats::on_shed(cw_boot_time now) {
    on_failure(now);
    // Requests that were sent together may be shed together; these count as one.
    if (now >= shedding_until_) {
        shedding_until_ =
            now + initial_shed_backoff * (1U << std::min(consecutive_sheds_, max_doublings));
        ++consecutive_sheds_;
    }
}

void cw_upstream_stats::on_oversized_answer(cw_boot_time now) {
    on_failure(now);
    // Answers to requests that were sent together may be cut together; these count as one.
    if (now >= shedding_until_) {
        const auto backoff =
            initial_avoidance * (1U << std::min(consecutive_oversized_, max_doublings));
        shedding_until_ = now + backoff;
        ++consecutive_oversized_;
    }
    avoided_until_ = std::max(avoided_until_, shedding_until_);
}

double cw_upstream_stats::report_age(cw_boot_time now) const {
    return std::max(0.0, std::chrono::duration<double>(now - load_reported_at_).count());
}

bool cw_upstream_stats::is_known_to_be_full(std::uint32_t slots, cw_boot_time now) const {
    return is_load_shared_ && report_age(now) < load_half_life_seconds && load(now) >= slots;
}

bool cw_upstream_stats::awaits_recovery() const {
    return consecutive_failures_ >= failure_threshold || consecutive_oversized_ > 0;
}

double cw_upstream_stats::load(cw_boot_time now) const {
    return in_flight_ + other_hosts_load_ * std::exp2(-report_age(now) / load_half_life_seconds);
}

double cw_upstream_stats::slowdown(cw_boot_time now) const {
    return 1.0 +
           (reported_slowdown_ - 1.0) * std::exp2(-report_age(now) / slowdown_half_life_seconds);
}

std::chrono::nanoseconds cw_upstream_stats::service_time() const {
    const double seconds = service_seconds_ == 0.0 ? initial_service_seconds : service_seconds_;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(seconds));
}

std::chrono::nanoseconds cw_upstream_stats::expected_time(std::uint32_t slots,
                                                          cw_boot_time now) const {
    const double excess = std::max(0.0, load(now) + 1.0 - slots);
    const double rounds = 1.0 + excess / std::max(1.0, static_cast<double>(slots));
    const std::chrono::duration<double> expected = service_time() * rounds * slowdown(now);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::min(expected, std::chrono::duration<double>{max_expected_seconds}));
}
