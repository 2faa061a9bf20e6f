#pragma once

#include <chrono>
#include <cstdint>
#include <string>

/// One service of the estate, as the operators' configuration states it.
struct cw_site_service {
    std::string name;
    /// True when each key is held by one upstream at a time.
    bool keyed = false;
    /// Connections that an upstream accepts from all hosts together.
    std::uint32_t max_connections = 100;
    /// Time for which keys are slow that arrive without their last holder's hand-over token.
    std::chrono::milliseconds warm_up{0};
};
