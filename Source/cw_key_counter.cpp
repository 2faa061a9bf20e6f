#include "cw_key_counter.h"

#include <algorithm>

namespace {
/// A key counts as hot if one report has at least this number of requests for it, and they are at
/// least this share of the service's requests.
constexpr std::uint32_t min_hot_count = 3;
constexpr double min_hot_share = 0.005;
} // namespace

cw_service_load cw_key_counter::take() {
    cw_service_load load;
    for (const auto& [first, count] : slices_) {
        load.slices[first] = static_cast<double>(count);
    }
    slices_.clear();
    const auto min_share_count =
        static_cast<std::uint32_t>(static_cast<double>(keys_.total()) * min_hot_share);
    for (const auto& hot : keys_.take(std::max(min_hot_count, min_share_count))) {
        load.keys[hot.item] = hot.count;
    }
    return load;
}
