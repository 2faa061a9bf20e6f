#include "cw_upstream_ramp.h"

#include <algorithm>

namespace {

using namespace std::chrono_literals;

constexpr double initial_share = 1.0 / 8;
constexpr double min_share = 1.0 / 16;
constexpr double growth = 2.0;
/// Time after which the share doubles without a response.
constexpr auto growth_interval = 500ms;
/// Time for which a bad response stops the growth by time.
constexpr auto growth_stop = 500ms;
/// Time from a bad response in which time alone does not end the ramp. With less, hosts that send
/// the upstream a few requests a second end their ramps between two refusals, and an upstream that
/// refuses everything gets more and more.
constexpr auto end_delay = 5s;
/// Time from the begin in which responses do not raise the share. A host with many requests gets
/// three good responses within a few service times; with them it would end the ramp at once, and
/// the upstream would get more than a quarter of its later part in its first second.
constexpr auto response_growth_delay = 1s;

} // namespace

cw_upstream_ramp::cw_upstream_ramp(reason why, cw_boot_time begin)
    : why_{why},
      share_{initial_share},
      begin_{begin},
      changed_at_{begin},
      lowered_at_{begin},
      grows_at_{begin + growth_interval},
      ends_at_{grows_at_} {}

void cw_upstream_ramp::grow_by_time(cw_boot_time now) {
    while (share_ < 1.0 && now >= grows_at_) {
        if (share_ * growth >= 1.0 && grows_at_ < ends_at_) {
            grows_at_ = ends_at_;
            continue;
        }
        share_ = std::min(1.0, share_ * growth);
        changed_at_ = grows_at_;
        grows_at_ += growth_interval;
    }
}

double cw_upstream_ramp::share(cw_boot_time now) {
    grow_by_time(now);
    return share_;
}

bool cw_upstream_ramp::admits(double draw, cw_boot_time now) {
    return draw < share(now);
}

void cw_upstream_ramp::on_good_response(cw_boot_time sent_at, cw_boot_time now) {
    grow_by_time(now);
    ++good_responses_;
    // A request from before the last change says nothing about the upstream under the present
    // share. Without this condition the responses to requests sent together would end the ramp.
    if (share_ < 1.0 && now >= begin_ + response_growth_delay && sent_at >= changed_at_) {
        share_ = std::min(1.0, share_ * growth);
        changed_at_ = now;
        grows_at_ = now + growth_interval;
    }
}

void cw_upstream_ramp::on_bad_response(cw_boot_time sent_at, cw_boot_time now) {
    grow_by_time(now);
    ++bad_responses_;
    if (share_ >= 1.0) {
        return;
    }
    grows_at_ = std::max(grows_at_, now + growth_stop + growth_interval);
    ends_at_ = std::max(ends_at_, now + end_delay);
    // Requests sent together may end badly together; these count as one. The good responses count
    // once in that time too, so halving at each bad one would keep an upstream that is late once in
    // five times at the lowest share for ever.
    if (sent_at >= lowered_at_) {
        share_ = std::max(min_share, share_ / growth);
        changed_at_ = now;
        lowered_at_ = now;
    }
}

void cw_upstream_ramp::restart(cw_boot_time begin) {
    share_ = std::min(share_, initial_share);
    begin_ = begin;
    changed_at_ = begin;
    lowered_at_ = begin;
    grows_at_ = std::max(grows_at_, begin + growth_interval);
}
