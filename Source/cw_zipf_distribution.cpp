#include "cw_zipf_distribution.h"

#include <algorithm>
#include <cmath>

cw_zipf_distribution::cw_zipf_distribution(std::uint32_t count, double exponent) {
    cumulative_.reserve(count);
    double sum = 0.0;
    for (std::uint32_t rank = 1; rank <= count; ++rank) {
        sum += std::pow(static_cast<double>(rank), -exponent);
        cumulative_.push_back(sum);
    }
}

std::uint32_t cw_zipf_distribution::sample(std::mt19937_64& engine) const {
    std::uniform_real_distribution<double> uniform{0.0, cumulative_.back()};
    const auto found = std::upper_bound(cumulative_.begin(), cumulative_.end(), uniform(engine));
    return static_cast<std::uint32_t>(std::min<std::ptrdiff_t>(
        found - cumulative_.begin(), static_cast<std::ptrdiff_t>(cumulative_.size()) - 1));
}
