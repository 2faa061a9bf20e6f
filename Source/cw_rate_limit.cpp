#include "cw_rate_limit.h"

#include "cw_limit_share.h"

#include <algorithm>
#include <utility>

namespace {

using namespace std::chrono_literals;

/// Time for which unused credit is kept without a share. Hosts that were idle must not all send at
/// once.
constexpr auto max_credit_time = 1'000ms;
/// How many times an equal part of the limit a host with a share may use. Callers are spread
/// unevenly over hosts.
constexpr double max_uneven_factor = 4.0;
/// Part of a limit that is used, and the lowest rate in requests per second.
constexpr double used_part = 0.85;
constexpr double min_rate = 0.4;

double seconds(std::chrono::nanoseconds time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

double cw_target_rate(double limit) {
    return std::max(limit * used_part, min_rate);
}

void cw_rate_limit::on_observed(std::optional<double> limit, double draw, cw_boot_time now) {
    set_limit(limit, now, draw, now);
}

void cw_rate_limit::on_share(const cw_limit_share& share, double draw, cw_boot_time now) {
    if (now - share.age > observed_at_) {
        set_limit(share.limit, now - share.age, draw, now);
    }
    if (share.admitted) {
        credit_ = has_share(now) ? credit_ : 1.0;
        share_ = *share.admitted;
        share_valid_until_ = now + share_validity;
    }
}

void cw_rate_limit::set_limit(std::optional<double> limit, cw_boot_time observed_at, double draw,
                              cw_boot_time now) {
    if (limit && !limit_) {
        share_balance_ = draw;
        credit_ = 0.0;
        credit_added_at_ = now;
    }
    limit_ = limit;
    observed_at_ = observed_at;
}

void cw_rate_limit::add_credit(std::uint32_t hosts, cw_boot_time now) {
    const double target = cw_target_rate(*limit_);
    const double equal_part = hosts == 0 ? 0.0 : target / hosts;
    const double elapsed = seconds(now - credit_added_at_);
    credit_added_at_ = now;
    if (has_share(now)) {
        const double part = std::min(target, equal_part * max_uneven_factor);
        credit_ = std::min(credit_ + part * elapsed, 1.0);
    } else {
        credit_ = std::min(credit_ + equal_part * elapsed, equal_part * seconds(max_credit_time));
    }
}

bool cw_rate_limit::admits(std::uint32_t hosts, double draw, cw_boot_time now) {
    ++wanted_;
    if (!limit_) {
        return true;
    }
    add_credit(hosts, now);
    if (!has_share(now)) {
        return draw < credit_;
    }
    share_balance_ = std::min(share_balance_ + share_, 1.0 + share_);
    return share_balance_ >= 1.0 && credit_ >= 1.0;
}

void cw_rate_limit::on_sent() {
    if (limit_) {
        share_balance_ -= 1.0;
        credit_ -= 1.0;
    }
}

std::chrono::milliseconds cw_rate_limit::retry_delay(cw_boot_time now) const {
    const bool is_likely = has_share(now) && share_ > 0.0;
    const auto delay = is_likely
                           ? std::chrono::duration<double, std::milli>(min_retry_delay) / share_
                           : std::chrono::duration<double, std::milli>(max_retry_delay);
    return std::min(max_retry_delay, std::chrono::ceil<std::chrono::milliseconds>(delay));
}

std::uint32_t cw_rate_limit::take_wanted() {
    return std::exchange(wanted_, 0);
}
