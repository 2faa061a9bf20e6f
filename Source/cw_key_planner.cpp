#include "cw_key_planner.h"

#include <algorithm>
#include <cmath>

namespace {

/// A candidate with the weight and the number of its keys.
struct candidate_load {
    const cw_key_candidate* candidate;
    double load = 0.0;
    std::uint32_t keys = 0;

    /// Load relative to the capacity.
    [[nodiscard]] double utilization() const { return load / candidate->capacity; }
};

class planner {
public:
    planner(const cw_key_table& table, const std::vector<cw_key_candidate>& candidates,
            const std::vector<double>& prefix_sums, const cw_key_plan_options& options)
        : table_{table},
          prefix_sums_{prefix_sums},
          options_{options} {
        for (const auto& candidate : candidates) {
            loads_.push_back({&candidate});
        }
        for (const auto& range : table.ranges) {
            if (auto* known = load_of(range.owner)) {
                add_keys(*known, range.first, range.last);
            }
            if (!range.is_moving()) {
                settled_ranges_.push_back(range);
            }
        }
    }

    void assign_orphaned_ranges() {
        for (const auto& range : table_.ranges) {
            if (load_of(range.owner) == nullptr) {
                distribute(range.first, range.last);
            }
        }
    }

    void assign_to_idle_candidates() {
        for (auto& entry : loads_) {
            if (entry.keys == 0 && entry.candidate->warm) {
                move_share_to(entry);
            }
        }
    }

    void rebalance(double rate) {
        if (rate < options_.min_rate) {
            return;
        }
        std::vector<candidate_load*> sources;
        for (auto& entry : loads_) {
            sources.push_back(&entry);
        }
        std::sort(sources.begin(), sources.end(), [](auto* left, auto* right) {
            return left->utilization() > right->utilization();
        });
        const auto mean = mean_utilization();
        const auto move_limit = moves_.size() + max_rebalancing_moves();
        for (auto* source : sources) {
            if (is_eligible_source(*source, mean)) {
                offload(*source, mean, move_limit);
            }
        }
    }

    [[nodiscard]] std::vector<cw_key_move> moves() && { return std::move(moves_); }

private:
    candidate_load* load_of(const cw_key_owner& owner) {
        const auto found = std::find_if(loads_.begin(), loads_.end(), [&](const auto& entry) {
            return entry.candidate->owner == owner;
        });
        return found == loads_.end() ? nullptr : &*found;
    }

    [[nodiscard]] double weight(std::uint32_t first, std::uint32_t last) const {
        return prefix_sums_[last + 1] - prefix_sums_[first];
    }

    void add_keys(candidate_load& entry, std::uint32_t first, std::uint32_t last) const {
        entry.load += weight(first, last);
        entry.keys += last - first + 1;
    }

    void assign(std::uint32_t first, std::uint32_t last, candidate_load& new_owner) {
        moves_.push_back({first, last, new_owner.candidate->owner});
        add_keys(new_owner, first, last);
    }

    [[nodiscard]] double mean_utilization() const {
        double load = 0.0;
        double capacity = 0.0;
        for (const auto& entry : loads_) {
            load += entry.load;
            capacity += entry.candidate->capacity;
        }
        return capacity > 0.0 ? load / capacity : 0.0;
    }

    /// True when the load exceeds the mean by the configured ratio and by more than chance
    /// explains.
    [[nodiscard]] bool is_overloaded(const candidate_load& entry, double mean) const {
        const double fair = mean * entry.candidate->capacity;
        const double deviation =
            std::sqrt(fair / std::chrono::duration<double>(options_.averaging_time).count());
        return entry.load >= fair * options_.max_load_ratio &&
               entry.load >= fair + deviation * options_.min_deviations;
    }

    /// The last key of the longest run from `first` that weighs at most `wanted_weight`; a run has
    /// at least one key.
    [[nodiscard]] std::uint32_t last_key_within(std::uint32_t first, std::uint32_t last,
                                                double wanted_weight) const {
        const auto first_sum = prefix_sums_.begin() + first;
        const auto end = std::upper_bound(first_sum + 1, prefix_sums_.begin() + last + 2,
                                          prefix_sums_[first] + wanted_weight);
        const auto length = static_cast<std::uint32_t>(std::distance(first_sum, end));
        return std::clamp(first + length, first + 2, last + 2) - 2;
    }

    /// Candidates that may get keys: the warm ones, or all if none is warm.
    [[nodiscard]] std::vector<candidate_load*> eligible_targets() {
        std::vector<candidate_load*> targets;
        for (auto& entry : loads_) {
            if (entry.candidate->warm) {
                targets.push_back(&entry);
            }
        }
        if (targets.empty()) {
            for (auto& entry : loads_) {
                targets.push_back(&entry);
            }
        }
        return targets;
    }

    /// Splits keys without an owner into pieces for the least utilized candidates.
    void distribute(std::uint32_t first, std::uint32_t last) {
        const auto targets = eligible_targets();
        if (targets.empty()) {
            return;
        }
        double load = weight(first, last);
        double capacity = 0.0;
        for (const auto* entry : targets) {
            load += entry->load;
            capacity += entry->candidate->capacity;
        }
        const double even_utilization = load / capacity;
        while (first <= last) {
            auto* new_owner =
                *std::min_element(targets.begin(), targets.end(), [](auto* left, auto* right) {
                    return left->utilization() < right->utilization();
                });
            // A small piece or remainder is not worth a range of its own.
            const double min_weight =
                even_utilization * new_owner->candidate->capacity * min_piece_share;
            const double spare =
                (even_utilization - new_owner->utilization()) * new_owner->candidate->capacity;
            auto end = last_key_within(first, last, std::max(spare, min_weight));
            if (end < last && weight(end + 1, last) < min_weight) {
                end = last;
            }
            assign(first, end, *new_owner);
            first = end + 1;
        }
    }

    /// Moves up to a fair share of load from the most utilized candidate to one without keys.
    void move_share_to(candidate_load& target) {
        const auto wanted_weight = mean_utilization() * target.candidate->capacity;
        candidate_load* source = nullptr;
        for (auto& entry : loads_) {
            if (entry.keys > 1 &&
                (source == nullptr || entry.utilization() > source->utilization())) {
                source = &entry;
            }
        }
        if (source != nullptr) {
            move_part(*source, target, std::min(wanted_weight, source->load / 2.0));
        }
    }

    /// Moves that one plan may make for rebalancing alone. In a large service an adjacent group of
    /// popular keys has to be spread over many owners while it is popular.
    [[nodiscard]] std::size_t max_rebalancing_moves() const {
        return options_.max_moves == 0
                   ? 0
                   : std::max(options_.max_moves, loads_.size() / owners_per_move);
    }

    /// True for a warm candidate outside its cooldown, or one in its cooldown whose load is far
    /// above the mean.
    [[nodiscard]] bool is_eligible_source(const candidate_load& entry, double mean) const {
        const bool in_cooldown =
            entry.candidate->cooling_down && entry.utilization() < mean * cooldown_override_ratio;
        return entry.candidate->warm && !in_cooldown;
    }

    /// Moves the excess load of `source` to the least utilized candidates, until the plan has
    /// `move_limit` moves.
    void offload(candidate_load& source, double mean, std::size_t move_limit) {
        while (moves_.size() < move_limit && is_overloaded(source, mean)) {
            auto* target = least_utilized_target();
            if (target == nullptr || target == &source || target->utilization() > mean) {
                return;
            }
            const auto excess = (source.utilization() - mean * options_.target_load_ratio) *
                                source.candidate->capacity;
            const auto spare = (mean * options_.target_load_ratio - target->utilization()) *
                               target->candidate->capacity;
            if (!move_part(source, *target, std::min(excess, spare))) {
                return;
            }
        }
    }

    candidate_load* least_utilized_target() {
        candidate_load* least_utilized = nullptr;
        for (auto& entry : loads_) {
            const bool is_eligible = entry.candidate->warm && !entry.candidate->cooling_down;
            if (is_eligible && (least_utilized == nullptr ||
                                entry.utilization() < least_utilized->utilization())) {
                least_utilized = &entry;
            }
        }
        return least_utilized;
    }

    /// Moves keys of about `wanted_weight` from one end of the heaviest settled range of `source`;
    /// false when neither end has such a piece.
    bool move_part(candidate_load& source, candidate_load& target, double wanted_weight) {
        const cw_key_range* heaviest = nullptr;
        double max_weight = 0.0;
        for (const auto& range : settled_ranges_) {
            if (range.owner != source.candidate->owner) {
                continue;
            }
            if (const auto range_weight = weight(range.first, range.last);
                range_weight > max_weight) {
                max_weight = range_weight;
                heaviest = &range;
            }
        }
        if (heaviest == nullptr) {
            return false;
        }
        auto end = last_key_within(heaviest->first, heaviest->last, wanted_weight);
        auto begin = heaviest->first;
        if (weight(begin, end) > wanted_weight * max_overshoot) {
            // The first key alone is too heavy; the other end may fit better.
            begin = first_key_within(heaviest->first, heaviest->last, wanted_weight);
            end = heaviest->last;
            if (weight(begin, end) > wanted_weight * max_overshoot) {
                return false;
            }
        }
        source.load -= weight(begin, end);
        source.keys -= end - begin + 1;
        assign(begin, end, target);
        remove_assigned(static_cast<std::size_t>(heaviest - settled_ranges_.data()), begin, end);
        return true;
    }

    /// Removes assigned keys from one end of a settled range.
    void remove_assigned(std::size_t index, std::uint32_t begin, std::uint32_t end) {
        auto& remainder = settled_ranges_[index];
        if (begin != remainder.first) {
            remainder.last = begin - 1;
        } else if (end != remainder.last) {
            remainder.first = end + 1;
        } else {
            settled_ranges_.erase(settled_ranges_.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    /// The first key of the longest run up to `last` that weighs at most `wanted_weight`; a run has
    /// at least one key.
    [[nodiscard]] std::uint32_t first_key_within(std::uint32_t first, std::uint32_t last,
                                                 double wanted_weight) const {
        auto begin = last;
        while (begin > first && weight(begin - 1, last) <= wanted_weight) {
            --begin;
        }
        return begin;
    }

    /// Candidates for each rebalancing move of one plan in a large service.
    static constexpr std::size_t owners_per_move = 4;
    /// Load, as a multiple of the mean, from which a candidate gives keys away even in its
    /// cooldown.
    static constexpr double cooldown_override_ratio = 2.0;
    /// Smallest piece worth a range, as a share of the new owner's even load.
    static constexpr double min_piece_share = 0.25;
    /// Largest weight of a moved piece, as a multiple of the wanted weight.
    static constexpr double max_overshoot = 1.5;

    const cw_key_table& table_;
    const std::vector<double>& prefix_sums_;
    const cw_key_plan_options& options_;
    std::vector<candidate_load> loads_;
    std::vector<cw_key_move> moves_;
    /// Settled ranges without the keys that this plan has moved.
    std::vector<cw_key_range> settled_ranges_;
};

} // namespace

std::vector<cw_key_move> cw_plan_key_moves(const cw_key_table& table,
                                           const std::vector<cw_key_candidate>& candidates,
                                           const std::vector<double>& prefix_sums, double rate,
                                           const cw_key_plan_options& options) {
    planner plan{table, candidates, prefix_sums, options};
    plan.assign_orphaned_ranges();
    plan.assign_to_idle_candidates();
    plan.rebalance(rate);
    return std::move(plan).moves();
}
