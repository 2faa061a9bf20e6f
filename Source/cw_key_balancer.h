#pragma once

#include "cw_boot_clock.h"
#include "cw_key_load.h"
#include "cw_key_planner.h"
#include "cw_steward_options.h"

#include <map>
#include <string>
#include <vector>

/// Decides when a service's keys are planned anew, and by which loads.
///
/// Keys without a candidate for their owner, and candidates without keys, are seen to at once.
/// Loads are balanced at intervals, and an upstream that took part in a move is left alone for a
/// while, so that its load is measured before it is judged again. The load that it answers: popular
/// keys that change within seconds, and services of which upstreams come and go.
class cw_key_balancer {
public:
    explicit cw_key_balancer(const cw_steward_options& options);

    void on_load(const std::vector<cw_key_count>& counts, cw_boot_time now);
    /// This host has become the steward; it measures before it balances.
    void start_measuring(cw_boot_time now);
    /// True while the upstream is left alone.
    [[nodiscard]] bool is_cooling_down(const std::string& id, cw_boot_time now) const;
    /// The moves that should be made now. Neighbouring ranges of the table are joined when there
    /// are too many.
    [[nodiscard]] std::vector<cw_key_move>
    plan_moves(cw_key_table& table, const std::vector<cw_key_candidate>& candidates,
               bool may_rebalance, cw_boot_time now);

private:
    cw_steward_options options_;
    cw_key_load load_;
    cw_boot_time next_rebalance_{};
    std::map<std::string, cw_boot_time> cooldown_until_;
};
