#pragma once

#include "cw_ownership_simulation.h"

#include <cstdint>
#include <random>
#include <string>

/// Draws faults and plays them on one world of stewards.
class cw_steward_schedule {
public:
    explicit cw_steward_schedule(std::uint64_t seed);

    /// Twelve faults with pauses between them, then calm; ends with the first violation.
    void run();
    [[nodiscard]] const cw_ownership_simulation& simulation() const { return simulation_; }

private:
    std::string random_host();
    std::string random_upstream();
    [[nodiscard]] bool is_running(const std::string& name) const;
    void inject_fault();

    std::mt19937_64 engine_;
    cw_ownership_simulation simulation_;
};
