#pragma once

#include "cw_heavy_hitters.h"
#include "cw_service_load.h"

#include <cstdint>
#include <unordered_map>

/// Counts one service's requests by slice, and finds the keys among them that are hot.
///
/// Memory grows with the slices that a router meets, never with keys.
class cw_key_counter {
public:
    /// Counts a request for a key at the position, which lies in the slice that begins at `first`.
    void add(std::uint64_t first, std::uint64_t position) {
        ++slices_[first];
        keys_.add(position);
    }

    /// Requests since the last call.
    [[nodiscard]] cw_service_load take();

private:
    static constexpr std::size_t sketch_counters = 128;

    std::unordered_map<std::uint64_t, std::uint64_t> slices_;
    cw_heavy_hitters keys_{sketch_counters};
};
