#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

/// What a slice table records of one upstream that owns or has owned slices.
struct cw_slice_owner {
    /// Failure domain whose keepers alone may grant leases to the upstream.
    std::string domain;
    /// "IP:port" at which the slices were granted. A host that takes the id over at another address
    /// is not this owner.
    std::string address;
    /// Fence of all grants to the upstream; it rises whenever the upstream's set of slices changes.
    std::uint64_t fence = 0;
    /// Number of slices owned now; follows from the slices and is not stored.
    std::size_t slices = 0;

    friend bool operator==(const cw_slice_owner&, const cw_slice_owner&) = default;
};
