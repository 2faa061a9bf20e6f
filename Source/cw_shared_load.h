#pragma once

#include <chrono>
#include <cstdint>
#include <string>

/// Load of an upstream as it stated it in a response, passed among hosts.
struct cw_shared_load {
    std::string id;
    /// Requests that ran or waited there.
    std::uint32_t requests = 0;
    std::uint32_t slots = 1;
    /// Time since the upstream stated it.
    std::chrono::milliseconds age{0};

    /// True if one more request would have to wait there.
    [[nodiscard]] bool is_full() const { return requests >= slots; }
};
