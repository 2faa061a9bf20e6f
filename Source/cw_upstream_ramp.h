#pragma once

#include "cw_boot_clock.h"

#include <chrono>
#include <cstdint>

/// Slow start of one upstream, as one host applies it: the share of the host's requests that may
/// choose the upstream, which grows with good responses and with time.
///
/// Thinning by a probability works with any number of hosts without messages between them. A
/// window of requests in flight does not: 71 hosts with one request each are 71 requests at an
/// upstream of 6 slots.
class cw_upstream_ramp {
public:
    enum class reason { started, recovered };

    /// `begin` is the time from which the share grows: the end of the upstream's warm-up, or now.
    cw_upstream_ramp(reason why, cw_boot_time begin);

    /// True if a request may choose the upstream. `draw` is a random number from 0 up to 1.
    [[nodiscard]] bool admits(double draw, cw_boot_time now);
    /// A request sent at `sent_at` was answered well.
    void on_good_response(cw_boot_time sent_at, cw_boot_time now);
    /// The upstream refused a request sent at `sent_at` as busy, failed or responded late.
    void on_bad_response(cw_boot_time sent_at, cw_boot_time now);
    /// The ramp begins anew at `begin`: the upstream responds again after failures, or it became
    /// cold again. A lower share and a longer stop of the growth remain.
    void restart(cw_boot_time begin);

    /// Share of the requests that may choose the upstream, from 1/16 to 1.
    [[nodiscard]] double share(cw_boot_time now);
    /// True from the moment at which the share is 1. The ramp has no effect then.
    [[nodiscard]] bool is_over(cw_boot_time now) { return share(now) >= 1.0; }
    [[nodiscard]] reason why() const { return why_; }
    [[nodiscard]] std::uint32_t good_responses() const { return good_responses_; }
    [[nodiscard]] std::uint32_t bad_responses() const { return bad_responses_; }
    /// Time of the last change of the share; that of the end when the ramp is over.
    [[nodiscard]] cw_boot_time changed_at() const { return changed_at_; }

private:
    /// Applies the growth by time up to `now`.
    void grow_by_time(cw_boot_time now);

    reason why_;
    double share_;
    cw_boot_time begin_;
    cw_boot_time changed_at_;
    /// Time of the last decrease of the share.
    cw_boot_time lowered_at_;
    /// Time of the next growth by time.
    cw_boot_time grows_at_;
    /// Earliest time of the growth by time that ends the ramp.
    cw_boot_time ends_at_;
    std::uint32_t good_responses_ = 0;
    std::uint32_t bad_responses_ = 0;
};
