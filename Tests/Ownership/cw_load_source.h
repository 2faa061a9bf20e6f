#pragma once

#include "cw_key_counter.h"
#include "cw_slice_table.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Draws requests for keys with a Zipf distribution and computes the true load of the upstreams of
/// a table.
class cw_load_source {
public:
    /// Creates `keys` keys at random positions, the most popular first.
    cw_load_source(std::size_t keys, double exponent, std::uint64_t seed);

    /// Draws the requests of one router in one second.
    [[nodiscard]] cw_service_load sample(const cw_slice_table& table, std::size_t requests);
    /// Assigns the popularities to other keys.
    void shuffle();
    /// Ratio of the busiest upstream's load to the mean, by true popularity.
    [[nodiscard]] double imbalance(const cw_slice_table& table,
                                   const std::vector<std::string>& upstreams) const;
    [[nodiscard]] double share_of_hottest() const { return shares_.front(); }

private:
    std::mt19937_64 engine_;
    std::vector<std::uint64_t> positions_;
    std::vector<double> shares_;
    std::discrete_distribution<std::size_t> popularity_;
};
