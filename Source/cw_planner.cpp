#include "cw_planner.h"

#include "cw_slice_weigher.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace {

/// Shares of the allowed excess over the mean: a plan is made above the first and targets a load
/// below the second, so that random variation of the measured rates neither hides an excess nor
/// triggers another move.
constexpr double trigger_share = 0.6;
constexpr double goal_share = 0.4;
/// Splitting a slice must lower the resulting load by at least this share of the mean more than
/// moving a whole slice does.
constexpr double min_split_gain = 0.03;
/// Gain, as a share of the mean, below which a move does not justify the cost of its hand-over.
constexpr double min_gain = 0.01;
/// Load of a key, as a share of the mean, from which it may be split out of its slice.
constexpr double min_hot_key_share = 0.02;
/// Share of the mean below which an upstream receives slices.
constexpr double underloaded_share = 0.5;
/// Share of an upstream's mean load below which a slice of a single position is no longer hot.
constexpr double cold_key_share = 0.005;

/// An inclusive range within a slice of the present table.
struct slice_part {
    const cw_slice* slice = nullptr;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

/// A range that may move, and the higher load of source and target after the move.
struct candidate_move {
    std::size_t index = 0;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    double weight = 0.0;
    double max_load_after = 0.0;
};

std::optional<std::size_t> index_of(std::span<const cw_upstream_location> candidates,
                                    const std::string& upstream) {
    const auto found =
        std::find_if(candidates.begin(), candidates.end(),
                     [&](const auto& candidate) { return candidate.id == upstream; });
    if (found == candidates.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - candidates.begin());
}

std::size_t least_loaded(const std::vector<double>& loads) {
    return static_cast<std::size_t>(std::min_element(loads.begin(), loads.end()) - loads.begin());
}

/// Selects ranges of one source upstream to move, one move at a time.
class source_planner {
public:
    source_planner(const cw_slice_weigher& weigh, const std::vector<cw_slice>& owned, double mean)
        : weigh_{weigh},
          mean_{mean} {
        for (const auto& slice : owned) {
            parts_.push_back({&slice, slice.first, slice.last});
        }
    }

    /// Returns the move with the lowest resulting maximum of both loads; none if the gain is below
    /// min_gain.
    [[nodiscard]] std::optional<candidate_move> best_move(double source, double target,
                                                          double goal) const {
        auto whole = best_part(source, target, false);
        if (!whole || whole->max_load_after > goal) {
            const auto split = best_part(source, target, true);
            const auto threshold = whole ? whole->max_load_after - min_split_gain * mean_ : source;
            if (split && split->max_load_after < threshold) {
                whole = split;
            }
        }
        if (whole && whole->max_load_after > source - min_gain * mean_) {
            return std::nullopt;
        }
        return whole;
    }

    void apply(const candidate_move& chosen) {
        const auto from = parts_[chosen.index];
        parts_.erase(parts_.begin() + static_cast<std::ptrdiff_t>(chosen.index));
        if (from.first < chosen.first) {
            parts_.push_back({from.slice, from.first, chosen.first - 1});
        }
        if (chosen.last < from.last) {
            parts_.push_back({from.slice, chosen.last + 1, from.last});
        }
    }

private:
    [[nodiscard]] std::optional<candidate_move> best_part(double source, double target,
                                                          bool allow_split) const {
        std::optional<candidate_move> best;
        const auto consider = [&](std::size_t index, std::uint64_t first, std::uint64_t last) {
            const auto weight = weigh_.range_weight(*parts_[index].slice, first, last);
            const auto max_load_after = std::max(source - weight, target + weight);
            if (!best || max_load_after < best->max_load_after) {
                best = candidate_move{index, first, last, weight, max_load_after};
            }
        };
        for (std::size_t i = 0; i < parts_.size(); ++i) {
            if (allow_split) {
                consider_splits(i, (source - target) / 2.0, consider);
            } else {
                consider(i, parts_[i].first, parts_[i].last);
            }
        }
        return best;
    }

    /// Considers the hot keys of a part, and of each range between them as much as is wanted.
    template <typename Consider>
    void consider_splits(std::size_t index, double wanted, const Consider& consider) const {
        const auto& whole = parts_[index];
        auto begin = whole.first;
        auto key = weigh_.hot_keys().lower_bound(whole.first);
        for (; key != weigh_.hot_keys().end() && key->first <= whole.last; ++key) {
            if (key->second < min_hot_key_share * mean_) {
                continue;
            }
            consider(index, key->first, key->first);
            if (begin < key->first) {
                consider_section(index, begin, key->first - 1, wanted, consider);
            }
            if (key->first == whole.last) {
                return;
            }
            begin = key->first + 1;
        }
        consider_section(index, begin, whole.last, wanted, consider);
    }

    template <typename Consider>
    void consider_section(std::size_t index, std::uint64_t first, std::uint64_t last, double wanted,
                          const Consider& consider) const {
        consider(index, first, last);
        const auto& slice = *parts_[index].slice;
        const auto weight = weigh_.range_weight(slice, first, last);
        // Splitting a range without traffic gains nothing.
        if (weight <= wanted || weigh_.range_rate(slice, first, last) <= 0.0) {
            return;
        }
        const auto width = static_cast<double>(last - first);
        const auto length = static_cast<std::uint64_t>(width * (wanted / weight));
        if (length > 0) {
            consider(index, first, first + length - 1);
        }
    }

    const cw_slice_weigher& weigh_;
    double mean_;
    std::vector<slice_part> parts_;
};

} // namespace

std::vector<double> cw_planner::upstream_loads(const cw_slice_table& table,
                                               const cw_service_load& load,
                                               std::span<const cw_upstream_location> candidates) {
    const cw_slice_weigher weigh{load};
    std::vector<double> totals(candidates.size(), 0.0);
    for (const auto& slice : table.slices()) {
        if (const auto index = index_of(candidates, slice.owner)) {
            totals[*index] += weigh(slice);
        }
    }
    return totals;
}

std::vector<cw_slice_move> cw_planner::reassign(const cw_slice_table& table,
                                                const cw_service_load& load,
                                                std::span<const std::string> lost,
                                                std::span<const cw_upstream_location> candidates) {
    std::vector<cw_slice_move> moves;
    if (candidates.empty()) {
        return moves;
    }
    const cw_slice_weigher weigh{load};
    auto totals = upstream_loads(table, load, candidates);
    std::vector<cw_slice> lost_slices;
    for (const auto& slice : table.slices()) {
        if (std::find(lost.begin(), lost.end(), slice.owner) != lost.end()) {
            lost_slices.push_back(slice);
        }
    }
    // The heaviest slices are assigned first, so that the light ones can even out the result.
    std::stable_sort(
        lost_slices.begin(), lost_slices.end(),
        [&](const auto& left, const auto& right) { return weigh(left) > weigh(right); });
    for (const auto& slice : lost_slices) {
        const auto target = least_loaded(totals);
        totals[target] += weigh(slice);
        moves.push_back({slice.first, slice.last, slice.owner, candidates[target]});
    }
    return moves;
}

std::vector<cw_slice_move> cw_planner::balance(const cw_slice_table& table,
                                               const cw_service_load& load,
                                               std::span<const cw_upstream_location> candidates,
                                               const cw_plan_limits& limits) {
    std::vector<cw_slice_move> moves;
    const cw_slice_weigher weigh{load};
    auto totals = upstream_loads(table, load, candidates);
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](auto left, auto right) { return totals[left] > totals[right]; });
    auto sum = std::accumulate(totals.begin(), totals.end(), 0.0);
    const auto excess = limits.imbalance_bound - 1.0;
    for (std::size_t rank = 0; rank + 1 < order.size() && moves.empty(); ++rank) {
        const auto source = order[rank];
        const auto mean = sum / static_cast<double>(order.size() - rank);
        const bool has_underloaded = totals[least_loaded(totals)] < underloaded_share * mean;
        const auto trigger = mean + std::max(mean * trigger_share * excess, limits.min_excess);
        if (totals[source] <= (has_underloaded ? mean : trigger)) {
            break;
        }
        const auto goal = has_underloaded ? mean : mean * (1.0 + goal_share * excess);
        const auto owned = table.owned_by(candidates[source].id);
        source_planner plan{weigh, owned, mean};
        while (moves.size() < limits.max_moves && totals[source] > goal) {
            const auto target = least_loaded(totals);
            const auto chosen = plan.best_move(totals[source], totals[target], goal);
            if (!chosen) {
                break;
            }
            plan.apply(*chosen);
            totals[source] -= chosen->weight;
            totals[target] += chosen->weight;
            moves.push_back(
                {chosen->first, chosen->last, candidates[source].id, candidates[target]});
        }
        // If no move was found for this source, balance the remaining upstreams among themselves.
        sum -= totals[source];
    }
    return moves;
}

std::vector<cw_slice_move> cw_planner::consolidate(const cw_slice_table& table,
                                                   const cw_service_load& load,
                                                   std::span<const cw_upstream_location> candidates,
                                                   std::size_t max_moves) {
    std::vector<cw_slice_move> moves;
    const auto& slices = table.slices();
    if (candidates.empty() || !table.is_fragmented()) {
        return moves;
    }
    const cw_slice_weigher weigh{load};
    const auto totals = upstream_loads(table, load, candidates);
    const auto mean =
        std::accumulate(totals.begin(), totals.end(), 0.0) / static_cast<double>(totals.size());
    for (std::size_t i = 1; i + 1 < slices.size() && moves.size() < max_moves; ++i) {
        const auto& slice = slices[i];
        const auto neighbour_owner = index_of(candidates, slices[i - 1].owner);
        const bool is_enclosed = slices[i - 1].owner == slices[i + 1].owner && neighbour_owner &&
                                 slice.owner != slices[i - 1].owner;
        const bool is_cold = slice.first == slice.last && weigh(slice) < cold_key_share * mean;
        const bool has_same_source = moves.empty() || moves.front().from == slice.owner;
        if (is_enclosed && is_cold && has_same_source) {
            moves.push_back({slice.first, slice.last, slice.owner, candidates[*neighbour_owner]});
        }
    }
    return moves;
}

cw_service_load cw_planner::remap_load(const cw_service_load& load, const cw_slice_table& from,
                                       const cw_slice_table& to) {
    cw_service_load result;
    result.keys = load.keys;
    const cw_slice_weigher weigh{load};
    auto old = from.slices().begin();
    for (const auto& slice : to.slices()) {
        double rate = 0.0;
        while (old != from.slices().end() && old->first <= slice.last) {
            const auto first = std::max(old->first, slice.first);
            const auto last = std::min(old->last, slice.last);
            if (first <= last) {
                rate += weigh.range_rate(*old, first, last);
            }
            if (old->last > slice.last) {
                break;
            }
            ++old;
        }
        if (rate > 0.0) {
            result.slices[slice.first] = rate;
        }
    }
    return result;
}
