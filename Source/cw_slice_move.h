#pragma once

#include "cw_upstream_location.h"

#include <cstdint>
#include <string>

/// A change of owner for an inclusive range. The range may cover part of a slice, which is then
/// split.
struct cw_slice_move {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    /// Id of the upstream that gives the range up.
    std::string from;
    /// The upstream that receives the range.
    cw_upstream_location to;

    friend bool operator==(const cw_slice_move&, const cw_slice_move&) = default;
};
