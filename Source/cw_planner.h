#pragma once

#include "cw_slice_move.h"
#include "cw_slice_table.h"

#include <map>
#include <span>
#include <string>
#include <vector>

/// Load of each slice, by the slice's first position, in requests per second.
using cw_slice_loads = std::map<std::uint64_t, double>;

/// Limits of one balancing plan.
struct cw_plan_limits {
    /// Highest wanted ratio of the busiest upstream's load to the mean.
    double imbalance_bound = 1.15;
    /// Slices that may move.
    std::size_t most_moves = 4;
};

/// Chooses which slices move. It never moves more than the wanted balance needs.
class cw_planner {
public:
    /// Hands every slice of the lost upstreams to the least loaded candidates; moves nothing else.
    /// Empty when there are no candidates.
    [[nodiscard]] static std::vector<cw_slice_move>
    replace(const cw_slice_table& table, const cw_slice_loads& loads,
            std::span<const std::string> lost, std::span<const cw_upstream_place> candidates);

    /// The fewest moves away from the busiest upstream that bring it towards the bound. A slice
    /// that is hot by itself is left alone and its neighbours are moved instead; a wide hot slice
    /// is split.
    [[nodiscard]] static std::vector<cw_slice_move>
    balance(const cw_slice_table& table, const cw_slice_loads& loads,
            std::span<const cw_upstream_place> candidates, const cw_plan_limits& limits);

    /// Load of each candidate, in the order given. An idle slice weighs a little by its width.
    [[nodiscard]] static std::vector<double>
    upstream_loads(const cw_slice_table& table, const cw_slice_loads& loads,
                   std::span<const cw_upstream_place> candidates);
};
