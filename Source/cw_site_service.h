#pragma once

#include <chrono>
#include <cstdint>
#include <string>

/// One service of the deployment, as in the operators' configuration.
struct cw_site_service {
    std::string name;
    /// True when each key is held by one upstream at a time.
    bool keyed = false;
    /// Most connections that an upstream accepts from all hosts together.
    std::uint32_t max_connections = 100;
    /// Time for which a key is slow after it has moved without the hand-over token of its last
    /// holder.
    std::chrono::milliseconds warm_up{0};
    /// Requests a second that a cold upstream tolerates from all hosts together; 0 for no limit.
    double cold_rate = 0.0;
    /// How long an upstream is cold after its start; 0 if the configuration names no time.
    std::chrono::milliseconds cold_start{0};
    /// Longest target latency of the routes that lead to the service; 0 if none does.
    std::chrono::milliseconds longest_target{0};
};
