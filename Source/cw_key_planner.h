#pragma once

#include "cw_key_table.h"
#include "cw_upstream_entry.h"

#include <chrono>
#include <vector>

/// An upstream that may own keys.
struct cw_key_candidate {
    cw_key_owner owner;
    /// Relative amount of work that it can process at the same time.
    double capacity = 1.0;
    /// False during warm-up: it keeps its keys and gets none that a warm candidate could get.
    bool warm = true;
    /// True shortly after a move in which it lost settled keys or got keys.
    bool cooling_down = false;
};

/// Limits for the rebalancing of load.
struct cw_key_plan_options {
    /// Load, as a multiple of the mean, from which an upstream gives keys away.
    double max_load_ratio = 1.4;
    /// Excess over the mean, in standard deviations of a count with that mean, up to which a high
    /// load is attributed to chance.
    double min_deviations = 3.0;
    /// Effective time over which the loads were counted.
    std::chrono::milliseconds averaging_time{6'000};
    /// Load, as a multiple of the mean, at which it stops giving keys away.
    double target_load_ratio = 1.1;
    /// Requests a second of the service below which the loads are not meaningful.
    double min_rate = 20.0;
    /// Moves of one plan that only rebalance load; 0 for none. Large services may exceed it.
    std::size_t max_moves = 4;
};

/// Decides which keys change owners.
///
/// Keys whose owner is not a candidate always get a new owner. Beyond that, warm candidates without
/// keys get a share, and overloaded candidates give away part of their heaviest range.
/// `prefix_sums` are those of cw_key_load; `rate` is the number of requests a second that they are
/// based on.
///
/// The plan has to follow popular keys that are adjacent and change within seconds. Where each
/// upstream has only a few requests a second, chance alone gives some of them several times the
/// mean; moving keys in that case would only take them away from their callers.
[[nodiscard]] std::vector<cw_key_move>
cw_plan_key_moves(const cw_key_table& table, const std::vector<cw_key_candidate>& candidates,
                  const std::vector<double>& prefix_sums, double rate,
                  const cw_key_plan_options& options);
