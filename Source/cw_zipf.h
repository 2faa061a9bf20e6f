#pragma once

#include <cstdint>
#include <random>
#include <vector>

/// Draws numbers below a bound with Zipf-distributed popularity.
class cw_zipf {
public:
    /// Exponent 0 draws all numbers alike. Pre: bound is positive.
    cw_zipf(std::uint32_t bound, double exponent);
    [[nodiscard]] std::uint32_t draw(std::mt19937_64& engine) const;

private:
    std::vector<double> cumulative_;
};
