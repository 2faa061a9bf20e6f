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
            if (!range.is_moving()) {
                settled_.push_back(range);
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
        std::vector<account*> givers;
        for (auto& entry : accounts_) {
            givers.push_back(&entry);
        }
        std::sort(givers.begin(), givers.end(),
                  [](auto* left, auto* right) { return left->use() > right->use(); });
        const auto mean = mean_use();
        const auto most = moves_.size() + most_moves();
        for (auto* giver : givers) {
            if (may_give(*giver, mean)) {
                relieve(*giver, mean, most);
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

    /// Moves that one plan may make for balance alone: a popular stretch of keys has to reach many
    /// owners of a large service while it is popular.
    [[nodiscard]] std::size_t most_moves() const {
        return options_.most_moves == 0
                   ? 0
                   : std::max(options_.most_moves, accounts_.size() / owners_per_move);
    }

    /// One that took part in a move is left alone, unless it is loaded far beyond the others.
    [[nodiscard]] bool may_give(const account& entry, double mean) const {
        const bool rests = entry.candidate->resting && entry.use() < mean * grave_excess;
        return entry.candidate->warm && !rests;
    }

    /// Gives away the giver's excess in pieces that fit the least used, up to so many moves in all.
    void relieve(account& giver, double mean, std::size_t most) {
        while (moves_.size() < most && is_overloaded(giver, mean)) {
            auto* taker = least_used_taker();
            if (taker == nullptr || taker == &giver || taker->use() > mean) {
                return;
            }
            const auto excess = (giver.use() - mean * options_.aim) * giver.candidate->capacity;
            const auto room = (mean * options_.aim - taker->use()) * taker->candidate->capacity;
            if (!move_part(giver, *taker, std::min(excess, room))) {
                return;
            }
        }
    }

    account* least_used_taker() {
        account* low = nullptr;
        for (auto& entry : accounts_) {
            const bool may_take = entry.candidate->warm && !entry.candidate->resting;
            if (may_take && (low == nullptr || entry.use() < low->use())) {
                low = &entry;
            }
        }
        return low;
    }

    /// Moves about `want` of the giver's settled keys, from the busiest range that has as much.
    bool move_part(account& giver, account& taker, double want) {
        const cw_key_range* busiest = nullptr;
        double most = 0.0;
        for (const auto& range : settled_) {
            if (range.owner != giver.candidate->owner) {
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
        keep_rest(static_cast<std::size_t>(busiest - settled_.data()), begin, end);
        return true;
    }

    /// Takes keys that are given away off one end of a settled range.
    void keep_rest(std::size_t place, std::uint32_t begin, std::uint32_t end) {
        auto& rest = settled_[place];
        if (begin != rest.first) {
            rest.last = begin - 1;
        } else if (end != rest.last) {
            rest.first = end + 1;
        } else {
            settled_.erase(settled_.begin() + static_cast<std::ptrdiff_t>(place));
        }
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

    static constexpr std::size_t owners_per_move = 4;
    /// Load over the mean from which an upstream gives keys away although it took part in a move.
    static constexpr double grave_excess = 2.0;
    static constexpr double small_piece = 0.25;
    static constexpr double most_overshoot = 1.5;

    const cw_key_table& table_;
    const std::vector<double>& sums_;
    const cw_key_plan_options& options_;
    std::vector<account> accounts_;
    std::vector<cw_key_move> moves_;
    /// Ranges that have settled, less what has been given away.
    std::vector<cw_key_range> settled_;
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
