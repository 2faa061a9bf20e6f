#pragma once

#include "cw_service_load.h"
#include "cw_slice.h"

#include <cstdint>

/// Weighs ranges of slices by their traffic, and a little by their width.
///
/// The traffic of a slice's hot keys lies at their positions; the rest is spread evenly, as the
/// hash spreads keys.
class cw_slice_weigher {
public:
    explicit cw_slice_weigher(const cw_service_load& load);

    [[nodiscard]] double operator()(const cw_slice& slice) const;
    /// Weight of a range that lies within the slice.
    [[nodiscard]] double range_weight(const cw_slice& slice, std::uint64_t first,
                                      std::uint64_t last) const;
    /// Requests per second of a range that lies within the slice.
    [[nodiscard]] double range_rate(const cw_slice& slice, std::uint64_t first,
                                    std::uint64_t last) const;
    [[nodiscard]] const cw_position_rates& hot_keys() const { return load_.keys; }

    /// Share of the ring that a range covers.
    [[nodiscard]] static double width_share(std::uint64_t first, std::uint64_t last);

private:
    [[nodiscard]] double hot_key_rate(std::uint64_t first, std::uint64_t last) const;

    const cw_service_load& load_;
    double total_rate_ = 0.0;
};
