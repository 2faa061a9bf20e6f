#pragma once

#include "cw_boot_clock.h"
#include "cw_upstream_entry.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

class cw_upstream_ramps;
class cw_upstream_stats;

/// Requirements and context of one request for which an upstream is selected.
struct cw_selection_criteria {
    /// Failure domain of the selecting host.
    std::string_view local_domain;
    /// An answer that is expected within this time is as good as an earlier one.
    std::chrono::nanoseconds acceptable_time{0};
    /// Ids of the upstreams that were already tried for this request; may be null.
    const std::vector<std::string>* tried_ids = nullptr;
    /// Random number, so that hosts with the same statistics do not all choose the same upstream.
    std::uint64_t random_number = 0;
    /// True for an upstream that may be sent a request now; empty if all may be.
    std::function<bool(const cw_upstream_entry&)> admits = {};
    /// Slow start of the service's upstreams; null if the service has none.
    cw_upstream_ramps* ramps = nullptr;
    /// Returns a random number from 0 up to 1; needed with `ramps` only.
    std::function<double()> draw = {};
};

/// Selects the upstream with the shortest expected time to an answer; null when none is left.
///
/// An upstream of the own failure domain is preferred to all others if it will answer within the
/// acceptable time, since traffic between failure domains is expensive. The statistics of the
/// selecting hosts are out of date by a few answers, so one of the upstreams with about equal
/// expected times is chosen at random. Upstreams that were tried already, whose Retry-After time
/// has not passed or which are not admitted are never selected; those that recently failed or were
/// busy only when no other is left.
///
/// With slow start, an upstream in its ramp may be chosen by a share of the requests only, unless
/// no other is left, and competes as no better than a random other upstream. The same holds for an
/// upstream with few answers, after its ramp too. Otherwise each host for which the assumed service
/// time, or that of the first answer, is shorter than the usual would send all its requests there.
[[nodiscard]] const cw_upstream_entry* cw_select_upstream(
    const std::vector<cw_upstream_entry>& upstreams, const cw_selection_criteria& criteria,
    const std::function<const cw_upstream_stats&(const cw_upstream_entry&)>& stats_of,
    cw_boot_time now);
