#pragma once

#include <cstdint>
#include <random>
#include <vector>

/// Draws numbers below a count with Zipf-distributed popularity.
class cw_zipf_distribution {
public:
    /// Exponent 0 draws all numbers alike. Pre: count is positive.
    cw_zipf_distribution(std::uint32_t count, double exponent);
    [[nodiscard]] std::uint32_t draw(std::mt19937_64& engine) const;

private:
    std::vector<double> cumulative_;
};
