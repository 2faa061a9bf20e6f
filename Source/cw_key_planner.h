#pragma once

#include "cw_key_table.h"
#include "cw_upstream_entry.h"

#include <chrono>
#include <vector>

/// An upstream that may own keys.
struct cw_key_candidate {
    cw_key_owner owner;
    /// Relative amount of work that it can do at once.
    double capacity = 1.0;
    /// False while it warms up: it keeps what it has and is given nothing that others can take.
    bool warm = true;
    /// True for one from which settled keys were taken or to which keys were given a moment ago.
    bool cooling_down = false;
};

/// When and how far load is moved.
struct cw_key_plan_options {
    /// Load over the mean from which an upstream gives keys away.
    double max_load_ratio = 1.4;
    /// Load over the mean, in standard deviations of a counted mean, that is not put down to
    /// chance.
    double min_deviations = 3.0;
    /// Time that the loads are counted over.
    std::chrono::milliseconds averaging_time{6'000};
    /// Load over the mean at which it stops giving.
    double target_load_ratio = 1.1;
    /// Requests a second below which loads say nothing.
    double min_rate = 20.0;
    /// Moves of one plan that only serve balance.
    std::size_t max_moves = 4;
};

/// Decides which keys change owners.
///
/// Keys whose owner is no candidate always go to another. Beyond that, upstreams without keys get
/// their share, and overloaded ones give up part of their busiest range. `sums` are the weights of
/// cw_key_load; `rate` is the number of requests a second that they rest on. The load that it
/// answers: popular keys that lie side by side and change within seconds. Where each upstream has
/// only a few requests a second, chance alone gives some of them several times the mean; moving
/// keys after that would only take them away from their callers.
[[nodiscard]] std::vector<cw_key_move>
cw_plan_key_moves(const cw_key_table& table, const std::vector<cw_key_candidate>& candidates,
                  const std::vector<double>& prefix_sums, double rate,
                  const cw_key_plan_options& options);
