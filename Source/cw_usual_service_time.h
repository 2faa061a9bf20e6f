#pragma once

#include "cw_upstream_entry.h"

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

class cw_upstream_stats;

/// The usual service time of a service, as one host has seen it: the median of the smoothed service
/// times of its upstreams other than `excluded`. None if no other upstream has responded.
[[nodiscard]] std::optional<std::chrono::nanoseconds> cw_usual_service_time(
    const std::vector<cw_upstream_entry>& upstreams, const cw_upstream_entry& excluded,
    const std::function<const cw_upstream_stats&(const cw_upstream_entry&)>& stats_of);
