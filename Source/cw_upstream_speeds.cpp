#include "cw_upstream_speeds.h"

#include <algorithm>

namespace {
/// Answers from which an upstream's speed is told from chance.
constexpr double least_answers = 12.0;
/// Answers that are remembered; older ones count for less.
constexpr double most_answers = 240.0;
/// Bounds of the factor: one that seems out of them is more likely to be disturbed than so made.
constexpr double least_factor = 0.4;
constexpr double most_factor = 2.0;
/// Share of the upstreams whose speeds must be known.
constexpr double covered_share = 0.7;
} // namespace

bool cw_upstream_speeds::is_known(const tally& seen) {
    return seen.answers >= least_answers && seen.seconds > 0.0;
}

void cw_upstream_speeds::on_note(const cw_speed_note& note) {
    if (note.answers == 0 || !(note.seconds > 0.0)) {
        return;
    }
    auto& seen = known_[note.id];
    seen.answers += note.answers;
    seen.seconds += note.seconds;
    if (seen.answers > most_answers) {
        seen.answers /= 2.0;
        seen.seconds /= 2.0;
    }
}

double cw_upstream_speeds::mean_speed() const {
    double speeds = 0.0;
    std::size_t count = 0;
    for (const auto& [id, seen] : known_) {
        if (is_known(seen)) {
            speeds += seen.answers / seen.seconds;
            ++count;
        }
    }
    return count == 0 ? 0.0 : speeds / static_cast<double>(count);
}

double cw_upstream_speeds::factor(const std::string& id, double mean) const {
    const auto found = known_.find(id);
    if (found == known_.end() || !is_known(found->second) || mean <= 0.0) {
        return 1.0;
    }
    return std::clamp(found->second.answers / found->second.seconds / mean, least_factor,
                      most_factor);
}

bool cw_upstream_speeds::covers(std::size_t upstreams) const {
    const auto known = std::count_if(known_.begin(), known_.end(),
                                     [](const auto& item) { return is_known(item.second); });
    return static_cast<double>(known) >= covered_share * static_cast<double>(upstreams);
}
