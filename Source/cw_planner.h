#pragma once

#include "cw_service_load.h"
#include "cw_slice_move.h"
#include "cw_slice_table.h"

#include <span>
#include <string>
#include <vector>

/// Limits of one balancing plan.
struct cw_plan_limits {
    /// Highest wanted ratio of the busiest upstream's load to the mean.
    double imbalance_bound = 1.15;
    /// Slices that may move.
    std::size_t max_moves = 4;
    /// Excess over the mean, in requests per second, that chance alone may cause.
    double min_excess = 0.0;
};

/// Chooses which slices move. It never moves more than the wanted balance needs.
class cw_planner {
public:
    /// Hands every slice of the lost upstreams to the least loaded candidates; moves nothing else.
    /// Empty when there are no candidates.
    [[nodiscard]] static std::vector<cw_slice_move>
    reassign(const cw_slice_table& table, const cw_service_load& load,
             std::span<const std::string> lost, std::span<const cw_upstream_place> candidates);

    /// The fewest moves away from one busy upstream that bring it well under the bound; all moves
    /// have the same source.
    ///
    /// Whole slices are preferred. A slice with hot keys is cut beside them, and a wide busy slice
    /// where the moved part weighs what is wanted. An upstream whose load is one key that nothing
    /// can be moved away from is left alone, and the others are balanced among themselves. An
    /// upstream with less than half of the mean is filled although nobody is over the bound.
    [[nodiscard]] static std::vector<cw_slice_move>
    balance(const cw_slice_table& table, const cw_service_load& load,
            std::span<const cw_upstream_place> candidates, const cw_plan_limits& limits);

    /// Moves of slices of one value that are hot no more back to the owner of both neighbours, so
    /// that the table can join the three. Empty while the table is compact. All moves have the same
    /// source.
    [[nodiscard]] static std::vector<cw_slice_move>
    consolidate(const cw_slice_table& table, const cw_service_load& load,
                std::span<const cw_upstream_place> candidates, std::size_t max_moves);

    /// Load of each candidate, in the order given. An idle slice weighs a little by its width.
    [[nodiscard]] static std::vector<double>
    upstream_loads(const cw_slice_table& table, const cw_service_load& load,
                   std::span<const cw_upstream_place> candidates);

    /// The load by the slices of the new table: what was known of a slice that was cut is divided
    /// by its hot keys and by width, and slices that were joined add up.
    [[nodiscard]] static cw_service_load
    remap_load(const cw_service_load& load, const cw_slice_table& from, const cw_slice_table& to);
};
