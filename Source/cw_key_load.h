#pragma once

#include "cw_boot_clock.h"
#include "cw_key_range.h"

#include <chrono>
#include <cstdint>
#include <vector>

/// Requests for one key since the last report.
struct cw_key_count {
    std::uint32_t key = 0;
    std::uint32_t count = 0;
};

/// Smoothed request rates of the keys of one service, from the reports of all hosts.
class cw_key_load {
public:
    /// Counts lose half of their weight within `half_life`.
    explicit cw_key_load(std::chrono::milliseconds half_life);

    /// Adds the counts of one report; keys above cw_last_key are ignored.
    void on_report(const std::vector<cw_key_count>& counts, cw_boot_time now);
    /// Length of the window over which plain counting would give equally exact rates.
    [[nodiscard]] std::chrono::milliseconds averaging_time() const;
    /// Requests a second for all keys together.
    [[nodiscard]] double total_rate(cw_boot_time now);
    /// Prefix sums of the keys' weights: the weight of [a, b] is sums[b + 1] - sums[a]. Each key
    /// has a small base weight, so that unused keys are distributed as well.
    [[nodiscard]] std::vector<double> prefix_sums(cw_boot_time now);

private:
    void decay(cw_boot_time now);

    std::chrono::milliseconds half_life_;
    std::vector<double> rates_ = std::vector<double>(cw_last_key + 1, 0.0);
    /// Sum of all rates.
    double total_rate_ = 0.0;
    cw_boot_time decayed_at_{};
};
