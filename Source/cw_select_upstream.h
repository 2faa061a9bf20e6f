#pragma once

#include "cw_boot_clock.h"
#include "cw_upstream_entry.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

class cw_upstream_stats;

/// What a request needs of an upstream, and where it comes from.
struct cw_selection_criteria {
    /// Failure domain of the host that asks.
    std::string_view local_domain;
    /// Time within which an answer is as good as a sooner one.
    std::chrono::nanoseconds acceptable_time{0};
    /// Ids that have been tried for this request.
    const std::vector<std::string>* tried_ids = nullptr;
    /// Random number, so that hosts with the same knowledge do not all choose the same.
    std::uint64_t random_number = 0;
};

/// Chooses the upstream that will probably answer soonest; null when there is none.
///
/// An upstream of the own failure domain that will be done in good time goes before all others,
/// since bytes between failure domains are dear. Several hosts choose by knowledge that is some
/// answers old, so of those that are about equally good one is drawn. Upstreams that failed or were
/// full a moment ago are passed over while others are left.
[[nodiscard]] const cw_upstream_entry* cw_select_upstream(
    const std::vector<cw_upstream_entry>& upstreams, const cw_selection_criteria& criteria,
    const std::function<const cw_upstream_stats&(const cw_upstream_entry&)>& stats_of,
    cw_boot_time now);
