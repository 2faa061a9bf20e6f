#include "cw_key_planner.h"

#include <algorithm>
#include <cmath>

namespace {

/// A candidate with the weight of its keys.
struct account {
    const cw_key_candidate* candidate;
    double load = 0.0;
    std::uint32_t keys = 0;

    [[nodiscard]] double use() const { return load / candidate->capacity; }
};

class planner {
public:
    planner(const cw_key_table& table, const std::vector<cw_key_candidate>& candidates,
            const std::vector<double>& sums, const cw_key_plan_options& options)
        : table_{table},
          sums_{sums},
          options_{options} {
        for (const auto& candidate : candidates) {
            accounts_.push_back({&candidate});
        }
        for (const auto& range : table.ranges) {
            if (auto* known = account_of(range.owner)) {
                add(*known, range.first, range.last);
            }
        }
    }

    void replace_lost_owners() {
        for (const auto& range : table_.ranges) {
            if (account_of(range.owner) == nullptr) {
                spread(range.first, range.last);
            }
        }
    }

    void fill_empty_owners() {
        for (auto& entry : accounts_) {
            if (entry.keys == 0 && entry.candidate->warm) {
                take_share(entry);
            }
        }
    }

    void level(double rate) {
        if (rate < options_.least_rate) {
            return;
        }
        for (std::size_t i = 0; i < options_.most_moves; ++i) {
            if (!level_once()) {
                return;
            }
        }
    }

    [[nodiscard]] std::vector<cw_key_move> moves() && { return std::move(moves_); }

private:
    account* account_of(const cw_key_owner& owner) {
        const auto found = std::find_if(accounts_.begin(), accounts_.end(), [&](const auto& entry) {
            return entry.candidate->owner == owner;
        });
        return found == accounts_.end() ? nullptr : &*found;
    }

    [[nodiscard]] double weight(std::uint32_t first, std::uint32_t last) const {
        return sums_[last + 1] - sums_[first];
    }

    void add(account& entry, std::uint32_t first, std::uint32_t last) const {
        entry.load += weight(first, last);
        entry.keys += last - first + 1;
    }

    void give(std::uint32_t first, std::uint32_t last, account& to) {
        moves_.push_back({first, last, to.candidate->owner});
        add(to, first, last);
    }

    [[nodiscard]] double mean_use() const {
        double load = 0.0;
        double capacity = 0.0;
        for (const auto& entry : accounts_) {
            load += entry.load;
            capacity += entry.candidate->capacity;
        }
        return capacity > 0.0 ? load / capacity : 0.0;
    }

    /// True when the upstream has more than the mean, by more than the count may differ by chance.
    [[nodiscard]] bool is_overloaded(const account& entry, double mean) const {
        const double fair = mean * entry.candidate->capacity;
        const double deviation =
            std::sqrt(fair / std::chrono::duration<double>(options_.counted).count());
        return entry.load >= fair * options_.most_excess &&
               entry.load >= fair + deviation * options_.least_deviations;
    }

    /// The last key of the longest stretch from `first` that weighs at most `want`.
    [[nodiscard]] std::uint32_t end_of_stretch(std::uint32_t first, std::uint32_t last,
                                               double want) const {
        const auto from = sums_.begin() + first;
        const auto end = std::upper_bound(from + 1, sums_.begin() + last + 2, sums_[first] + want);
        const auto length = static_cast<std::uint32_t>(std::distance(from, end));
        return std::clamp(first + length, first + 2, last + 2) - 2;
    }

    /// Candidates that are given keys: the warm ones, or all when none is warm.
    [[nodiscard]] std::vector<account*> takers() {
        std::vector<account*> list;
        for (auto& entry : accounts_) {
            if (entry.candidate->warm) {
                list.push_back(&entry);
            }
        }
        if (list.empty()) {
            for (auto& entry : accounts_) {
                list.push_back(&entry);
            }
        }
        return list;
    }

    /// Cuts keys without an owner into pieces that fit the least used candidates.
    void spread(std::uint32_t first, std::uint32_t last) {
        const auto list = takers();
        if (list.empty()) {
            return;
        }
        double load = weight(first, last);
        double capacity = 0.0;
        for (const auto* entry : list) {
            load += entry->load;
            capacity += entry->candidate->capacity;
        }
        const double even = load / capacity;
        while (first <= last) {
            auto* to = *std::min_element(list.begin(), list.end(), [](auto* left, auto* right) {
                return left->use() < right->use();
            });
            // Small pieces and small rests are not worth a range of their own.
            const double least = even * to->candidate->capacity * small_piece;
            const double room = (even - to->use()) * to->candidate->capacity;
            auto end = end_of_stretch(first, last, std::max(room, least));
            if (end < last && weight(end + 1, last) < least) {
                end = last;
            }
            give(first, end, *to);
            first = end + 1;
        }
    }

    void take_share(account& taker) {
        const auto want = mean_use() * taker.candidate->capacity;
        account* giver = nullptr;
        for (auto& entry : accounts_) {
            if (entry.keys > 1 && (giver == nullptr || entry.use() > giver->use())) {
                giver = &entry;
            }
        }
        if (giver != nullptr) {
            move_part(*giver, taker, std::min(want, giver->load / 2.0));
        }
    }

    bool level_once() {
        account* high = nullptr;
        account* low = nullptr;
        for (auto& entry : accounts_) {
            if (entry.candidate->resting || !entry.candidate->warm) {
                continue;
            }
            if (high == nullptr || entry.use() > high->use()) {
                high = &entry;
            }
            if (low == nullptr || entry.use() < low->use()) {
                low = &entry;
            }
        }
        const auto mean = mean_use();
        if (high == nullptr || high == low || !is_overloaded(*high, mean) || low->use() > mean) {
            return false;
        }
        const auto excess = (high->use() - mean * options_.aim) * high->candidate->capacity;
        const auto room = (mean * options_.aim - low->use()) * low->candidate->capacity;
        return move_part(*high, *low, std::min(excess, room));
    }

    /// Moves about `want` of the giver's settled keys, from the busiest range that has as much.
    bool move_part(account& giver, account& taker, double want) {
        const cw_key_range* busiest = nullptr;
        double most = 0.0;
        for (const auto& range : table_.ranges) {
            const bool moved = std::any_of(moves_.begin(), moves_.end(), [&](const auto& move) {
                return move.first <= range.last && range.first <= move.last;
            });
            if (range.owner != giver.candidate->owner || range.is_moving() || moved) {
                continue;
            }
            if (const auto here = weight(range.first, range.last); here > most) {
                most = here;
                busiest = &range;
            }
        }
        if (busiest == nullptr) {
            return false;
        }
        auto end = end_of_stretch(busiest->first, busiest->last, want);
        auto begin = busiest->first;
        if (weight(begin, end) > want * most_overshoot) {
            // The first key alone is too much; the other end may fit better.
            begin = begin_of_stretch(busiest->first, busiest->last, want);
            end = busiest->last;
            if (weight(begin, end) > want * most_overshoot) {
                return false;
            }
        }
        giver.load -= weight(begin, end);
        giver.keys -= end - begin + 1;
        give(begin, end, taker);
        return true;
    }

    /// The first key of the longest stretch up to `last` that weighs at most `want`.
    [[nodiscard]] std::uint32_t begin_of_stretch(std::uint32_t first, std::uint32_t last,
                                                 double want) const {
        auto begin = last;
        while (begin > first && weight(begin - 1, last) <= want) {
            --begin;
        }
        return begin;
    }

    static constexpr double small_piece = 0.25;
    static constexpr double most_overshoot = 1.5;

    const cw_key_table& table_;
    const std::vector<double>& sums_;
    const cw_key_plan_options& options_;
    std::vector<account> accounts_;
    std::vector<cw_key_move> moves_;
};

} // namespace

std::vector<cw_key_move> cw_plan_key_moves(const cw_key_table& table,
                                           const std::vector<cw_key_candidate>& candidates,
                                           const std::vector<double>& sums, double rate,
                                           const cw_key_plan_options& options) {
    planner plan{table, candidates, sums, options};
    plan.replace_lost_owners();
    plan.fill_empty_owners();
    plan.level(rate);
    return std::move(plan).moves();
}
