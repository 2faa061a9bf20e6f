#pragma once

#include "cw_service_load.h"
#include "cw_slice.h"

#include <cstdint>

/// Estimates the weight of slices and of ranges within them, in requests per second: their traffic
/// plus a small share for their width.
///
/// The traffic of hot keys is assigned to their positions. The rest of a slice's traffic is assumed
/// to be uniform, since the hash distributes keys evenly. Keeps a reference to the load.
class cw_slice_weigher {
public:
    explicit cw_slice_weigher(const cw_service_load& load);

    [[nodiscard]] double operator()(const cw_slice& slice) const;
    /// Weight of a range within the slice.
    [[nodiscard]] double range_weight(const cw_slice& slice, std::uint64_t first,
                                      std::uint64_t last) const;
    /// Estimated requests per second of a range within the slice.
    [[nodiscard]] double range_rate(const cw_slice& slice, std::uint64_t first,
                                    std::uint64_t last) const;
    [[nodiscard]] const cw_position_rates& hot_keys() const { return load_.keys; }

    /// Share of the ring that an inclusive range covers, from 0 to 1.
    [[nodiscard]] static double width_share(std::uint64_t first, std::uint64_t last);

private:
    [[nodiscard]] double hot_key_rate(std::uint64_t first, std::uint64_t last) const;

    const cw_service_load& load_;
    double total_rate_ = 0.0;
};
