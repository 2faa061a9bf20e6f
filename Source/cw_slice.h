#pragma once

#include <cstdint>
#include <string>

/// A slice: an inclusive range of positions on the 64-bit hash ring that has exactly one owner.
struct cw_slice {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    /// Id of the owning upstream.
    std::string owner;
    /// Epoch of the table version that assigned this owner.
    std::uint64_t generation = 0;

    [[nodiscard]] bool contains(std::uint64_t hash) const { return first <= hash && hash <= last; }
    friend bool operator==(const cw_slice&, const cw_slice&) = default;
};
