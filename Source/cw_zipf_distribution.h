#pragma once

#include <cstdint>
#include <random>
#include <vector>

/// Zipf distribution over the numbers from 0 to count - 1; 0 is the most frequent.
class cw_zipf_distribution {
public:
    /// Exponent 0 gives the uniform distribution. Pre: count is positive.
    cw_zipf_distribution(std::uint32_t count, double exponent);
    [[nodiscard]] std::uint32_t sample(std::mt19937_64& engine) const;

private:
    std::vector<double> cumulative_;
};
