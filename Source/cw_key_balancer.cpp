#include "cw_key_balancer.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace {

using namespace std::chrono_literals;

/// Half-life of the request rates by which keys are rebalanced.
constexpr auto load_half_life = 2'000ms;
/// Ranges per candidate above which adjacent settled ranges are merged.
constexpr std::size_t max_ranges_per_owner = 3;

/// Owners by id; the map refers to the owners' strings and must not outlive them.
using owner_index = std::unordered_map<std::string_view, const cw_key_owner*>;

/// True when the owner of a range is not a candidate.
bool has_orphaned_range(const cw_key_table& table,
                        const std::vector<cw_key_candidate>& candidates) {
    owner_index owners_by_id;
    for (const auto& candidate : candidates) {
        owners_by_id.emplace(candidate.owner.id, &candidate.owner);
    }
    return std::any_of(table.ranges.begin(), table.ranges.end(), [&](const auto& range) {
        const auto found = owners_by_id.find(range.owner.id);
        return found == owners_by_id.end() || *found->second != range.owner;
    });
}

/// True when a warm candidate owns no keys.
bool has_idle_candidate(const cw_key_table& table,
                        const std::vector<cw_key_candidate>& candidates) {
    std::unordered_set<std::string_view> owners;
    for (const auto& range : table.ranges) {
        owners.insert(range.owner.id);
    }
    return std::any_of(candidates.begin(), candidates.end(), [&](const auto& candidate) {
        return candidate.warm && !owners.contains(candidate.owner.id);
    });
}

} // namespace

cw_key_balancer::cw_key_balancer(const cw_steward_options& options)
    : options_{options},
      load_{load_half_life} {
    options_.plan.averaging_time = load_.averaging_time();
}

void cw_key_balancer::on_load(const std::vector<cw_key_count>& counts, cw_boot_time now) {
    load_.on_report(counts, now);
}

void cw_key_balancer::start_measuring(cw_boot_time now) {
    next_rebalance_ = now + options_.balance_interval;
}

bool cw_key_balancer::is_cooling_down(const std::string& id, cw_boot_time now) const {
    const auto cooldown = cooldown_until_.find(id);
    return cooldown != cooldown_until_.end() && now < cooldown->second;
}

std::vector<cw_key_move>
cw_key_balancer::plan_moves(cw_key_table& table, const std::vector<cw_key_candidate>& candidates,
                            bool may_rebalance, cw_boot_time now) {
    const bool is_rebalancing = may_rebalance && now >= next_rebalance_;
    auto options = options_.plan;
    if (is_rebalancing) {
        next_rebalance_ = now + options_.balance_interval;
    } else {
        options.max_moves = 0;
    }
    if (is_rebalancing && table.ranges.size() > max_ranges_per_owner * candidates.size()) {
        table.merge_settled_ranges();
    }
    const bool has_enough_load = load_.total_rate(now) >= options.min_rate;
    if (!has_orphaned_range(table, candidates) && !has_idle_candidate(table, candidates) &&
        !(is_rebalancing && has_enough_load)) {
        return {};
    }
    auto moves = cw_plan_key_moves(table, candidates, load_.prefix_sums(now), load_.total_rate(now),
                                   options);
    for (const auto& move : moves) {
        cooldown_until_[move.to.id] = now + options_.move_cooldown;
        cooldown_until_[table.range_of(move.first).owner.id] = now + options_.move_cooldown;
    }
    return moves;
}
