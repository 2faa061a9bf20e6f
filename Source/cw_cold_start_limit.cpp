#include "cw_cold_start_limit.h"

#include <algorithm>
#include <cmath>

namespace {

/// Standard deviations of a Poisson count between the target rate and the bound. A count of 3.5
/// exceeds a bound of 14.75 about four times in a million seconds.
constexpr double deviations = 6.0;
/// Part of the tolerated rate that is used at most.
constexpr double used_part = 0.85;

double seconds(std::chrono::nanoseconds time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

double cw_cold_target_rate(double cold_rate, double overage, double slack) {
    const double bound = cold_rate * overage + slack;
    // The square root of the largest x with x + deviations * sqrt(x) <= bound.
    const double root = (std::sqrt(deviations * deviations + 4.0 * bound) - deviations) / 2.0;
    return std::min(root * root, cold_rate * used_part);
}

void cw_cold_start_limit::advance(double rate, cw_boot_time now) {
    double elapsed = std::max(0.0, seconds(now - updated_at_));
    updated_at_ = std::max(updated_at_, now);
    if (rate <= 0.0) {
        return;
    }
    if (fill_ < 1.0) {
        const double until_full = (1.0 - fill_) / rate;
        if (elapsed < until_full) {
            fill_ += elapsed * rate;
            return;
        }
        elapsed -= until_full;
        fill_ = 1.0;
        unused_seconds_ = 0.0;
    }
    const double max_unused = seconds(max_unused_time);
    unused_seconds_ += elapsed;
    if (unused_seconds_ < max_unused) {
        return;
    }
    // An unused token is lost at the end of each of these periods.
    const double refill_seconds = 1.0 / rate;
    const double in_period = std::fmod(unused_seconds_ - max_unused, refill_seconds + max_unused);
    fill_ = std::min(1.0, in_period * rate);
    unused_seconds_ = std::max(0.0, in_period - refill_seconds);
}

bool cw_cold_start_limit::admits(double rate, cw_boot_time now) {
    advance(rate, now);
    return rate > 0.0 && fill_ >= 1.0;
}

std::chrono::nanoseconds cw_cold_start_limit::admission_delay(double rate, cw_boot_time now) {
    if (admits(rate, now)) {
        return std::chrono::nanoseconds{0};
    }
    const double delay = rate > 0.0 ? (1.0 - fill_) / rate : HUGE_VAL;
    constexpr auto longest = std::chrono::nanoseconds::max();
    return delay < seconds(longest) / 2.0
               ? std::chrono::ceil<std::chrono::nanoseconds>(std::chrono::duration<double>(delay))
               : longest;
}
