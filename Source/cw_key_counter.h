#pragma once

#include "cw_heavy_hitters.h"
#include "cw_service_load.h"

#include <cstdint>
#include <unordered_map>

/// Counts the requests of one service by slice and finds the hot keys among them.
///
/// Memory grows with the number of slices that a router has requests for, not with the number of
/// keys.
class cw_key_counter {
public:
    /// Counts a request for the key at ring position `position`, which lies in the slice that
    /// begins at `first`.
    void add(std::uint64_t first, std::uint64_t position) {
        ++slices_[first];
        keys_.add(position);
    }

    /// Returns the counts since the last call and resets them.
    [[nodiscard]] cw_service_load take();

private:
    static constexpr std::size_t sketch_counters = 128;

    std::unordered_map<std::uint64_t, std::uint64_t> slices_;
    cw_heavy_hitters keys_{sketch_counters};
};
