#include "cw_key_load.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace {
using namespace std::chrono_literals;
/// Rates decay in steps of this length, since a step processes every key.
constexpr auto decay_step = 100ms;
/// Share of the total rate that is spread evenly over all keys as their base weight.
constexpr double even_weight_share = 0.05;
/// Lower limit of the rate that is spread evenly, in requests a second.
constexpr double min_even_rate = 1.0;
} // namespace

cw_key_load::cw_key_load(std::chrono::milliseconds half_life)
    : half_life_{half_life} {}

void cw_key_load::decay(cw_boot_time now) {
    if (now < decayed_at_ + decay_step) {
        return;
    }
    const auto elapsed = std::chrono::duration<double>(now - decayed_at_);
    const auto factor = std::exp2(-elapsed / std::chrono::duration<double>(half_life_));
    total_rate_ *= factor;
    if (total_rate_ > 0.0) {
        for (auto& rate : rates_) {
            rate *= factor;
        }
    }
    decayed_at_ = now;
}

void cw_key_load::on_report(const std::vector<cw_key_count>& counts, cw_boot_time now) {
    decay(now);
    // With exponential decay, the estimate of a steady rate r converges to r if each request adds
    // ln 2 / half-life.
    const double weight = std::numbers::ln2 / std::chrono::duration<double>(half_life_).count();
    for (const auto& entry : counts) {
        if (entry.key <= cw_last_key) {
            rates_[entry.key] += weight * entry.count;
            total_rate_ += weight * entry.count;
        }
    }
}

std::chrono::milliseconds cw_key_load::averaging_time() const {
    // The variance of the exponentially decaying estimate of a steady rate r is r * ln 2 / (2 *
    // half-life).
    return std::chrono::duration_cast<std::chrono::milliseconds>(half_life_ * 2.0 /
                                                                 std::numbers::ln2);
}

double cw_key_load::total_rate(cw_boot_time now) {
    decay(now);
    return total_rate_;
}

std::vector<double> cw_key_load::prefix_sums(cw_boot_time now) {
    const double even =
        std::max(total_rate(now) * even_weight_share, min_even_rate) / (cw_last_key + 1);
    std::vector<double> result(rates_.size() + 1, 0.0);
    for (std::size_t key = 0; key < rates_.size(); ++key) {
        result[key + 1] = result[key] + rates_[key] + even;
    }
    return result;
}
