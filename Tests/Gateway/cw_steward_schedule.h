#pragma once

#include "cw_grant_world.h"

#include <cstdint>
#include <random>
#include <string>

/// Draws faults and plays them on one world of stewards.
class cw_steward_schedule {
public:
    explicit cw_steward_schedule(std::uint64_t seed);

    /// Twelve faults with pauses between them, then calm; ends with the first violation.
    void play();
    [[nodiscard]] const cw_grant_world& world() const { return world_; }

private:
    std::string host();
    std::string upstream();
    [[nodiscard]] bool runs(const std::string& name) const;
    void disturb();

    std::mt19937_64 engine_;
    cw_grant_world world_;
};
