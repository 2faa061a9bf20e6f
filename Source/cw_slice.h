#pragma once

#include <cstdint>
#include <string>

/// An inclusive range of the 64-bit ring with its single owner.
struct cw_slice {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    /// Id of the owning upstream.
    std::string owner;
    /// Epoch of the table in which this owner was assigned.
    std::uint64_t generation = 0;

    [[nodiscard]] bool contains(std::uint64_t hash) const { return first <= hash && hash <= last; }
    friend bool operator==(const cw_slice&, const cw_slice&) = default;
};
