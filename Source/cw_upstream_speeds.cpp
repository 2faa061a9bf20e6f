#include "cw_upstream_speeds.h"

#include <algorithm>

namespace {
/// Minimum number of answers for a measured speed to be significant.
constexpr double min_answers = 12.0;
/// Number of answers at which the sums are halved, so that older answers weigh less.
constexpr double max_answers = 240.0;
/// Bounds of the relative speed. A value beyond them is more likely to come from a temporary
/// condition than from the upstream itself.
constexpr double min_relative_speed = 0.4;
constexpr double max_relative_speed = 2.0;
/// Share of the upstreams that need enough samples.
constexpr double min_known_share = 0.7;
} // namespace

bool cw_upstream_speeds::has_enough_answers(const tally& measured) {
    return measured.answers >= min_answers && measured.seconds > 0.0;
}

void cw_upstream_speeds::add(const cw_speed_sample& sample) {
    if (sample.answers == 0 || !(sample.seconds > 0.0)) {
        return;
    }
    auto& measured = tallies_[sample.id];
    measured.answers += sample.answers;
    measured.seconds += sample.seconds;
    if (measured.answers > max_answers) {
        measured.answers /= 2.0;
        measured.seconds /= 2.0;
    }
}

double cw_upstream_speeds::mean_speed() const {
    double speeds = 0.0;
    std::size_t count = 0;
    for (const auto& [id, measured] : tallies_) {
        if (has_enough_answers(measured)) {
            speeds += measured.answers / measured.seconds;
            ++count;
        }
    }
    return count == 0 ? 0.0 : speeds / static_cast<double>(count);
}

double cw_upstream_speeds::relative_speed(const std::string& id, double mean) const {
    const auto found = tallies_.find(id);
    if (found == tallies_.end() || !has_enough_answers(found->second) || mean <= 0.0) {
        return 1.0;
    }
    return std::clamp(found->second.answers / found->second.seconds / mean, min_relative_speed,
                      max_relative_speed);
}

bool cw_upstream_speeds::has_enough_for(std::size_t upstreams) const {
    const auto known = std::count_if(tallies_.begin(), tallies_.end(), [](const auto& item) {
        return has_enough_answers(item.second);
    });
    return static_cast<double>(known) >= min_known_share * static_cast<double>(upstreams);
}
