#include "cw_upstream_meter.h"

#include <algorithm>
#include <cmath>

namespace {

using namespace std::chrono_literals;

/// Estimate for an upstream that has not answered yet.
constexpr double first_service_seconds = 0.1;
/// Weight of one answer in the smoothed service time.
constexpr double service_weight = 0.15;
/// Time in which what is known of other hosts' requests loses half of its weight.
constexpr double others_half_life_seconds = 0.6;
/// Time for which an upstream is passed over after it was full.
constexpr auto full_pause = 60ms;
/// Failures in a row from which an upstream is passed over, and for how long.
constexpr std::uint32_t most_failures = 2;
constexpr auto first_pause = 500ms;
constexpr std::uint32_t most_doublings = 2;
/// Time for which one that sheds requests is left alone at first.
constexpr auto first_hold_off = 100ms;

} // namespace

void cw_upstream_meter::note_load(std::optional<cw_load_word> load, cw_boot_time now) {
    if (load) {
        const auto total = static_cast<double>(load->running) + load->waiting;
        others_ = std::max(0.0, total - in_flight_);
        heard_ = now;
    }
}

double cw_upstream_meter::on_answer(std::chrono::nanoseconds latency,
                                    std::optional<cw_load_word> load, cw_boot_time now) {
    --in_flight_;
    failures_ = 0;
    sheds_ = 0;
    avoided_until_ = {};
    note_load(load, now);
    // The wait for a slot is part of the latency; what was there when the answer left tells how
    // long it was.
    const double queued =
        load && load->slots > 0
            ? std::max(1.0, (static_cast<double>(load->running) + load->waiting) / load->slots)
            : 1.0;
    const double seconds = std::chrono::duration<double>(latency).count() / queued;
    service_seconds_ = service_seconds_ == 0.0
                           ? seconds
                           : service_seconds_ + service_weight * (seconds - service_seconds_);
    return seconds;
}

void cw_upstream_meter::on_busy(std::optional<cw_load_word> load, cw_boot_time now) {
    --in_flight_;
    note_load(load, now);
    avoided_until_ = std::max(avoided_until_, now + full_pause);
}

void cw_upstream_meter::on_failure(cw_boot_time now) {
    --in_flight_;
    if (++failures_ >= most_failures) {
        const auto doublings = std::min(failures_ - most_failures, most_doublings);
        avoided_until_ = now + first_pause * (1U << doublings);
    }
}

void cw_upstream_meter::on_shed(cw_boot_time now) {
    on_failure(now);
    // Requests that were sent together and shed together count once.
    if (now >= shedding_until_) {
        shedding_until_ = now + first_hold_off * (1U << std::min(sheds_, most_doublings));
        ++sheds_;
    }
}

double cw_upstream_meter::load(cw_boot_time now) const {
    const auto age = std::chrono::duration<double>(now - heard_).count();
    return in_flight_ + others_ * std::exp2(-std::max(0.0, age) / others_half_life_seconds);
}

std::chrono::nanoseconds cw_upstream_meter::service_time() const {
    const double seconds = service_seconds_ == 0.0 ? first_service_seconds : service_seconds_;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(seconds));
}

std::chrono::nanoseconds cw_upstream_meter::expected_time(std::uint32_t slots,
                                                          cw_boot_time now) const {
    const double ahead = std::max(0.0, load(now) + 1.0 - slots);
    const double rounds = 1.0 + ahead / std::max(1.0, static_cast<double>(slots));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(service_time() * rounds);
}
