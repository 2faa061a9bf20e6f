#include "cw_usual_service_time.h"

#include "cw_upstream_stats.h"

#include <algorithm>

std::optional<std::chrono::nanoseconds> cw_usual_service_time(
    const std::vector<cw_upstream_entry>& upstreams, const cw_upstream_entry& excluded,
    const std::function<const cw_upstream_stats&(const cw_upstream_entry&)>& stats_of) {
    std::vector<std::chrono::nanoseconds> times;
    for (const auto& upstream : upstreams) {
        if (upstream.id == excluded.id) {
            continue;
        }
        if (const auto& stats = stats_of(upstream); stats.has_responded()) {
            times.push_back(stats.service_time());
        }
    }
    if (times.empty()) {
        return std::nullopt;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}
