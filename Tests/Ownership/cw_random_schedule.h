#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Outcome of one random schedule of faults.
struct cw_schedule_verdict {
    std::size_t two_owner_moments = 0;
    /// Grants that offered other slices under a fence used before.
    std::size_t mixed_fences = 0;
    /// Sample positions without an owner after everything was healed.
    std::size_t unowned = 0;
    /// What was done, in order, for a failed seed's report.
    std::vector<std::string> actions;
    std::vector<std::string> timeline;

    [[nodiscard]] bool has_passed() const {
        return two_owner_moments == 0 && mixed_fences == 0 && unowned == 0;
    }
};

/// Runs the schedule that the seed stands for. The same seed always gives the same schedule.
[[nodiscard]] cw_schedule_verdict cw_run_random_schedule(std::uint64_t seed);
