#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Result of one random schedule of faults.
struct cw_schedule_verdict {
    std::size_t two_owner_moments = 0;
    /// Number of grants that reused a fence for a different set of slices.
    std::size_t mixed_fences = 0;
    /// Sample positions without an owner after all faults ended and the recovery time passed.
    std::size_t unowned = 0;
    /// The faults injected, in order, for the report of a failed seed.
    std::vector<std::string> actions;
    std::vector<std::string> timeline;

    [[nodiscard]] bool has_passed() const {
        return two_owner_moments == 0 && mixed_fences == 0 && unowned == 0;
    }
};

/// Runs the schedule derived from the seed. The same seed always gives the same schedule.
[[nodiscard]] cw_schedule_verdict cw_run_random_schedule(std::uint64_t seed);
