#pragma once

#include "cw_upstream_location.h"

#include <cstdint>
#include <string>

/// A change of owner for an inclusive range of the ring. If the range covers only part of a slice,
/// the slice is split.
struct cw_slice_move {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    /// Id of the present owner.
    std::string from;
    /// The new owner.
    cw_upstream_location to;

    friend bool operator==(const cw_slice_move&, const cw_slice_move&) = default;
};
