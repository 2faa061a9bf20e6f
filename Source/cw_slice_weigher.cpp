#include "cw_slice_weigher.h"

#include <algorithm>

namespace {
constexpr double ring_width = 18446744073709551616.0;
/// Weight of the ring's whole width as a share of the total load, so that slices without traffic
/// are distributed too.
constexpr double idle_share = 0.02;
/// Minimum weight of the ring's whole width, which applies when there is no traffic.
constexpr double idle_floor = 1.0;
} // namespace

cw_slice_weigher::cw_slice_weigher(const cw_service_load& load)
    : load_{load},
      total_rate_{load.total()} {}

double cw_slice_weigher::width_share(std::uint64_t first, std::uint64_t last) {
    return (static_cast<double>(last - first) + 1.0) / ring_width;
}

double cw_slice_weigher::hot_key_rate(std::uint64_t first, std::uint64_t last) const {
    double sum = 0.0;
    for (auto key = load_.keys.lower_bound(first); key != load_.keys.end() && key->first <= last;
         ++key) {
        sum += key->second;
    }
    return sum;
}

double cw_slice_weigher::range_rate(const cw_slice& slice, std::uint64_t first,
                                    std::uint64_t last) const {
    const auto found = load_.slices.find(slice.first);
    const auto rate = found == load_.slices.end() ? 0.0 : found->second;
    if (slice.first == first && slice.last == last) {
        return rate;
    }
    // Both rates are estimates, so the rates of the keys may add up to more than that of their
    // slice.
    const auto hot_rate = hot_key_rate(slice.first, slice.last);
    const auto scale = hot_rate > rate ? rate / hot_rate : 1.0;
    const auto remaining_rate = std::max(0.0, rate - hot_rate);
    return hot_key_rate(first, last) * scale +
           remaining_rate * width_share(first, last) / width_share(slice.first, slice.last);
}

double cw_slice_weigher::range_weight(const cw_slice& slice, std::uint64_t first,
                                      std::uint64_t last) const {
    return range_rate(slice, first, last) +
           width_share(first, last) * std::max(idle_floor, idle_share * total_rate_);
}

double cw_slice_weigher::operator()(const cw_slice& slice) const {
    return range_weight(slice, slice.first, slice.last);
}
