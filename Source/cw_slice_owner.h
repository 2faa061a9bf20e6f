#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

/// Record in a slice table of an upstream that owns or has owned slices.
struct cw_slice_owner {
    /// Failure domain of the upstream; only its keepers may grant leases to the upstream.
    std::string domain;
    /// "IP:port" at which the slices were granted. A host with the same id at another address is a
    /// different owner.
    std::string address;
    /// Fencing token of all grants to the upstream. It increases with each change of the upstream's
    /// set of slices.
    std::uint64_t fence = 0;
    /// Number of slices owned now. Computed from the slices, not stored.
    std::size_t slices = 0;

    friend bool operator==(const cw_slice_owner&, const cw_slice_owner&) = default;
};
