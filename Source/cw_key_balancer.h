#pragma once

#include "cw_boot_clock.h"
#include "cw_key_load.h"
#include "cw_key_planner.h"
#include "cw_steward_options.h"

#include <map>
#include <string>
#include <vector>

/// Decides when the moves of a service's keys are planned, and with which loads.
///
/// Ranges whose owner is not a candidate, and warm candidates without keys, are handled at once.
/// Load is rebalanced at intervals. An upstream that took part in a move is excluded for a
/// cooldown, so that its load is measured again before the next decision about it. This keeps up
/// with popular keys that change within seconds and with services whose upstreams come and go.
class cw_key_balancer {
public:
    explicit cw_key_balancer(const cw_steward_options& options);

    /// Adds the key counts of one report.
    void on_load(const std::vector<cw_key_count>& counts, cw_boot_time now);
    /// Called when this host becomes the steward: it measures for one interval before it
    /// rebalances.
    void start_measuring(cw_boot_time now);
    /// True while the upstream is excluded from rebalancing after a move.
    [[nodiscard]] bool is_cooling_down(const std::string& id, cw_boot_time now) const;
    /// The moves to make now. Load is rebalanced only if `may_rebalance` is true. Settled adjacent
    /// ranges of the table are merged first when it has too many ranges.
    [[nodiscard]] std::vector<cw_key_move>
    plan_moves(cw_key_table& table, const std::vector<cw_key_candidate>& candidates,
               bool may_rebalance, cw_boot_time now);

private:
    cw_steward_options options_;
    cw_key_load load_;
    cw_boot_time next_rebalance_{};
    std::map<std::string, cw_boot_time> cooldown_until_;
};
