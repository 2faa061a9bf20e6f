#include "cw_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace {

constexpr double ring_width = 18446744073709551616.0;
/// Share of the whole load that an idle ring weighs, so that slices without traffic spread too.
constexpr double idle_share = 0.02;
/// Idle weight of the whole ring when there is no traffic at all.
constexpr double idle_floor = 1.0;

double width_share(const cw_slice& slice) {
    return (static_cast<double>(slice.last - slice.first) + 1.0) / ring_width;
}

/// Weighs a slice by its traffic and a little by its width.
class slice_weigher {
public:
    explicit slice_weigher(const cw_slice_loads& loads)
        : loads_{loads} {
        for (const auto& [first, rate] : loads) {
            total_ += rate;
        }
    }

    double operator()(const cw_slice& slice) const {
        const auto found = loads_.find(slice.first);
        const auto rate = found == loads_.end() ? 0.0 : found->second;
        return rate + width_share(slice) * std::max(idle_floor, idle_share * total_);
    }

private:
    const cw_slice_loads& loads_;
    double total_ = 0.0;
};

std::optional<std::size_t> index_of(std::span<const cw_upstream_place> candidates,
                                    const std::string& upstream) {
    const auto found = std::find_if(candidates.begin(), candidates.end(),
                                    [&](const auto& place) { return place.id == upstream; });
    if (found == candidates.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - candidates.begin());
}

std::size_t least(const std::vector<double>& loads) {
    return static_cast<std::size_t>(std::min_element(loads.begin(), loads.end()) - loads.begin());
}

std::size_t most(const std::vector<double>& loads) {
    return static_cast<std::size_t>(std::max_element(loads.begin(), loads.end()) - loads.begin());
}

/// The slice of `owned` whose move to the target leaves the lower maximum of the two; none if no
/// move helps.
std::optional<std::size_t> best_slice(const std::vector<cw_slice>& owned,
                                      const slice_weigher& weigh, double source, double target) {
    std::optional<std::size_t> best;
    auto lowest = source;
    for (std::size_t i = 0; i < owned.size(); ++i) {
        const auto weight = weigh(owned[i]);
        const auto after = std::max(source - weight, target + weight);
        if (after < lowest) {
            lowest = after;
            best = i;
        }
    }
    return best;
}

} // namespace

std::vector<double> cw_planner::upstream_loads(const cw_slice_table& table,
                                               const cw_slice_loads& loads,
                                               std::span<const cw_upstream_place> candidates) {
    const slice_weigher weigh{loads};
    std::vector<double> totals(candidates.size(), 0.0);
    for (const auto& slice : table.slices()) {
        if (const auto index = index_of(candidates, slice.owner)) {
            totals[*index] += weigh(slice);
        }
    }
    return totals;
}

std::vector<cw_slice_move> cw_planner::replace(const cw_slice_table& table,
                                               const cw_slice_loads& loads,
                                               std::span<const std::string> lost,
                                               std::span<const cw_upstream_place> candidates) {
    std::vector<cw_slice_move> moves;
    if (candidates.empty()) {
        return moves;
    }
    const slice_weigher weigh{loads};
    auto totals = upstream_loads(table, loads, candidates);
    std::vector<cw_slice> orphans;
    for (const auto& slice : table.slices()) {
        if (std::find(lost.begin(), lost.end(), slice.owner) != lost.end()) {
            orphans.push_back(slice);
        }
    }
    // The heaviest slices are placed first, while the light ones can still even out the rest.
    std::stable_sort(orphans.begin(), orphans.end(), [&](const auto& left, const auto& right) {
        return weigh(left) > weigh(right);
    });
    for (const auto& slice : orphans) {
        const auto target = least(totals);
        totals[target] += weigh(slice);
        moves.push_back({slice.first, slice.last, slice.owner, candidates[target]});
    }
    return moves;
}

std::vector<cw_slice_move> cw_planner::balance(const cw_slice_table& table,
                                               const cw_slice_loads& loads,
                                               std::span<const cw_upstream_place> candidates,
                                               const cw_plan_limits& limits) {
    std::vector<cw_slice_move> moves;
    if (candidates.size() < 2) {
        return moves;
    }
    const slice_weigher weigh{loads};
    auto totals = upstream_loads(table, loads, candidates);
    const auto mean =
        std::accumulate(totals.begin(), totals.end(), 0.0) / static_cast<double>(candidates.size());
    const auto source = most(totals);
    auto owned = table.owned_by(candidates[source].id);
    while (moves.size() < limits.most_moves && totals[source] > mean * limits.imbalance_bound) {
        const auto target = least(totals);
        const auto index = best_slice(owned, weigh, totals[source], totals[target]);
        if (!index) {
            break;
        }
        const auto slice = owned[*index];
        const auto weight = weigh(slice);
        totals[source] -= weight;
        totals[target] += weight;
        moves.push_back({slice.first, slice.last, slice.owner, candidates[target]});
        owned.erase(owned.begin() + static_cast<std::ptrdiff_t>(*index));
    }
    return moves;
}
