#include "cw_planner.h"

#include "cw_slice_weigher.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace {

/// Shares of the allowed excess over the mean: a plan is made above the first and aims below the
/// second, so that chance in the measured rates neither hides an excess nor calls for another move.
constexpr double trigger_share = 0.6;
constexpr double goal_share = 0.4;
/// Part of the mean by which cutting a slice must beat moving a whole one.
constexpr double cut_gain = 0.03;
/// Part of the mean below which no move is worth its hand-over.
constexpr double least_gain = 0.01;
/// Part of the mean that a key must draw to be cut out of its slice.
constexpr double least_hot_key = 0.02;
/// Part of the mean below which an upstream is filled.
constexpr double starved_share = 0.5;
/// Part of the mean load of an upstream under which a slice of one value is hot no more.
constexpr double cooled_key = 0.005;

/// A range within a slice of the present table.
struct part {
    const cw_slice* slice = nullptr;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

/// A part that may move, and the higher of both sides' loads after it has moved.
struct choice {
    std::size_t index = 0;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    double weight = 0.0;
    double after = 0.0;
};

std::optional<std::size_t> index_of(std::span<const cw_upstream_location> candidates,
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

/// Chooses parts of one source for one target after another.
class source_plan {
public:
    source_plan(const cw_slice_weigher& weigh, const std::vector<cw_slice>& owned, double mean)
        : weigh_{weigh},
          mean_{mean} {
        for (const auto& slice : owned) {
            parts_.push_back({&slice, slice.first, slice.last});
        }
    }

    /// The part whose move leaves the lower maximum of the two; none if no move is worth it.
    [[nodiscard]] std::optional<choice> best(double source, double target, double goal) const {
        auto whole = best_of(source, target, false);
        if (!whole || whole->after > goal) {
            const auto cut = best_of(source, target, true);
            const auto bar = whole ? whole->after - cut_gain * mean_ : source;
            if (cut && cut->after < bar) {
                whole = cut;
            }
        }
        if (whole && whole->after > source - least_gain * mean_) {
            return std::nullopt;
        }
        return whole;
    }

    void take(const choice& chosen) {
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
    [[nodiscard]] std::optional<choice> best_of(double source, double target, bool cuts) const {
        std::optional<choice> best;
        const auto offer = [&](std::size_t index, std::uint64_t first, std::uint64_t last) {
            const auto weight = weigh_.range(*parts_[index].slice, first, last);
            const auto after = std::max(source - weight, target + weight);
            if (!best || after < best->after) {
                best = choice{index, first, last, weight, after};
            }
        };
        for (std::size_t i = 0; i < parts_.size(); ++i) {
            if (cuts) {
                offer_cuts(i, (source - target) / 2.0, offer);
            } else {
                offer(i, parts_[i].first, parts_[i].last);
            }
        }
        return best;
    }

    /// Offers the hot keys of a part, and of each stretch between them as much as is wanted.
    template <typename Offer>
    void offer_cuts(std::size_t index, double wanted, const Offer& offer) const {
        const auto& whole = parts_[index];
        auto begin = whole.first;
        auto key = weigh_.keys().lower_bound(whole.first);
        for (; key != weigh_.keys().end() && key->first <= whole.last; ++key) {
            if (key->second < least_hot_key * mean_) {
                continue;
            }
            offer(index, key->first, key->first);
            if (begin < key->first) {
                offer_stretch(index, begin, key->first - 1, wanted, offer);
            }
            if (key->first == whole.last) {
                return;
            }
            begin = key->first + 1;
        }
        offer_stretch(index, begin, whole.last, wanted, offer);
    }

    template <typename Offer>
    void offer_stretch(std::size_t index, std::uint64_t first, std::uint64_t last, double wanted,
                       const Offer& offer) const {
        offer(index, first, last);
        const auto& slice = *parts_[index].slice;
        const auto weight = weigh_.range(slice, first, last);
        // An idle stretch is not worth a cut.
        if (weight <= wanted || weigh_.traffic(slice, first, last) <= 0.0) {
            return;
        }
        const auto width = static_cast<double>(last - first);
        const auto length = static_cast<std::uint64_t>(width * (wanted / weight));
        if (length > 0) {
            offer(index, first, first + length - 1);
        }
    }

    const cw_slice_weigher& weigh_;
    double mean_;
    std::vector<part> parts_;
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

std::vector<cw_slice_move> cw_planner::replace(const cw_slice_table& table,
                                               const cw_service_load& load,
                                               std::span<const std::string> lost,
                                               std::span<const cw_upstream_location> candidates) {
    std::vector<cw_slice_move> moves;
    if (candidates.empty()) {
        return moves;
    }
    const cw_slice_weigher weigh{load};
    auto totals = upstream_loads(table, load, candidates);
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
        const bool starved = totals[least(totals)] < starved_share * mean;
        const auto trigger = mean + std::max(mean * trigger_share * excess, limits.least_excess);
        if (totals[source] <= (starved ? mean : trigger)) {
            break;
        }
        const auto goal = starved ? mean : mean * (1.0 + goal_share * excess);
        const auto owned = table.owned_by(candidates[source].id);
        source_plan plan{weigh, owned, mean};
        while (moves.size() < limits.most_moves && totals[source] > goal) {
            const auto target = least(totals);
            const auto chosen = plan.best(totals[source], totals[target], goal);
            if (!chosen) {
                break;
            }
            plan.take(*chosen);
            totals[source] -= chosen->weight;
            totals[target] += chosen->weight;
            moves.push_back(
                {chosen->first, chosen->last, candidates[source].id, candidates[target]});
        }
        // Nothing can be moved away from it; the others are balanced among themselves.
        sum -= totals[source];
    }
    return moves;
}

std::vector<cw_slice_move> cw_planner::tidy(const cw_slice_table& table,
                                            const cw_service_load& load,
                                            std::span<const cw_upstream_location> candidates,
                                            std::size_t most_moves) {
    std::vector<cw_slice_move> moves;
    const auto& slices = table.slices();
    if (candidates.empty() || !table.is_fragmented()) {
        return moves;
    }
    const cw_slice_weigher weigh{load};
    const auto totals = upstream_loads(table, load, candidates);
    const auto mean =
        std::accumulate(totals.begin(), totals.end(), 0.0) / static_cast<double>(totals.size());
    for (std::size_t i = 1; i + 1 < slices.size() && moves.size() < most_moves; ++i) {
        const auto& slice = slices[i];
        const auto home = index_of(candidates, slices[i - 1].owner);
        const bool enclosed = slices[i - 1].owner == slices[i + 1].owner && home &&
                              slice.owner != slices[i - 1].owner;
        const bool cooled = slice.first == slice.last && weigh(slice) < cooled_key * mean;
        const bool same_source = moves.empty() || moves.front().from == slice.owner;
        if (enclosed && cooled && same_source) {
            moves.push_back({slice.first, slice.last, slice.owner, candidates[*home]});
        }
    }
    return moves;
}

cw_service_load cw_planner::rekeyed(const cw_service_load& load, const cw_slice_table& from,
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
                rate += weigh.traffic(*old, first, last);
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
