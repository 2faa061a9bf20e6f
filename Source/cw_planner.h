#pragma once

#include "cw_service_load.h"
#include "cw_slice_move.h"
#include "cw_slice_table.h"

#include <span>
#include <string>
#include <vector>

/// Limits of one plan of moves.
struct cw_plan_limits {
    /// Target upper bound of the ratio between the busiest upstream's load and the mean.
    double imbalance_bound = 1.15;
    /// Maximum number of moves.
    std::size_t max_moves = 4;
    /// Excess over the mean, in requests per second, that random variation may cause.
    double min_excess = 0.0;
};

/// Plans which slices move to which upstream, with no more moves than the target balance needs.
class cw_planner {
public:
    /// Moves every slice of the lost upstreams to the least loaded candidates and no other slice.
    /// Empty if there are no candidates.
    [[nodiscard]] static std::vector<cw_slice_move>
    reassign(const cw_slice_table& table, const cw_service_load& load,
             std::span<const std::string> lost, std::span<const cw_upstream_location> candidates);

    /// Plans the fewest moves away from one busy upstream that bring its load well below the bound.
    /// All moves have the same source.
    ///
    /// Whole slices are preferred. A slice with hot keys is split next to them; a wide busy slice
    /// is split where the moved part has the required weight. An upstream whose load is a single
    /// key, so that nothing useful can be moved away, is skipped, and the others are balanced among
    /// themselves. An upstream with less than half of the mean load receives slices even if no
    /// upstream exceeds the bound.
    [[nodiscard]] static std::vector<cw_slice_move>
    balance(const cw_slice_table& table, const cw_service_load& load,
            std::span<const cw_upstream_location> candidates, const cw_plan_limits& limits);

    /// Plans to return single-position slices whose key is no longer hot to the owner of both
    /// adjacent slices, so that the table can merge the three. Empty unless the table is
    /// fragmented. All moves have the same source.
    [[nodiscard]] static std::vector<cw_slice_move>
    consolidate(const cw_slice_table& table, const cw_service_load& load,
                std::span<const cw_upstream_location> candidates, std::size_t max_moves);

    /// Load of each candidate, in the order given. Every slice adds a small weight by its width, so
    /// idle slices count too.
    [[nodiscard]] static std::vector<double>
    upstream_loads(const cw_slice_table& table, const cw_service_load& load,
                   std::span<const cw_upstream_location> candidates);

    /// Maps the load from the slices of one table to those of another. The load of a split slice is
    /// divided by its hot keys and by width; the loads of merged slices are added up.
    [[nodiscard]] static cw_service_load
    remap_load(const cw_service_load& load, const cw_slice_table& from, const cw_slice_table& to);
};
