#include "cw_select_upstream.h"

#include "cw_upstream_ramps.h"
#include "cw_upstream_stats.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace {
/// Assumed slowdown of an upstream that is still warming up.
constexpr double cold_start_factor = 2.0;
/// Factor on the expected time of upstreams of another failure domain.
constexpr double remote_domain_factor = 1.15;
/// Ratio to the shortest expected time up to which upstreams count as equal.
constexpr double tie_factor = 1.1;
/// Lower bound of a service time by which is divided.
constexpr double min_seconds = 1e-9;

struct candidate {
    const cw_upstream_entry* upstream;
    double expected_seconds;
    const cw_upstream_stats* stats;
    bool is_ramping = false;
    /// Set for an upstream whose expected time says too little, from 0 up to 1: chooses the other
    /// upstream with which it is compared.
    std::optional<double> reference_draw = std::nullopt;
};

/// Factor on the expected time that does not depend on the load.
double time_factor(const cw_upstream_entry& upstream, const cw_selection_criteria& criteria,
                   cw_boot_time now) {
    return (now < upstream.warm_at ? cold_start_factor : 1.0) *
           (upstream.domain == criteria.local_domain ? 1.0 : remote_domain_factor);
}

double seconds_of(std::chrono::nanoseconds time) {
    return std::chrono::duration<double>(time).count();
}

/// Expected time to the answer of `item` if it is no better than `reference`. The fewer answers the
/// item has given, the more its service time is taken to be the reference's.
double uncertain_seconds(const candidate& item, const candidate& reference, cw_boot_time now) {
    const double own_service = std::max(seconds_of(item.stats->service_time()), min_seconds);
    const double reference_service = seconds_of(reference.stats->service_time());
    const double service =
        reference_service + (own_service - reference_service) * item.stats->certainty();
    const double own = seconds_of(item.stats->expected_time(item.upstream->slots, now));
    const double copied =
        seconds_of(reference.stats->expected_time(reference.upstream->slots, now));
    return std::max(own * service / own_service, copied);
}

/// Sets the expected times of the candidates that have a reference draw.
void apply_references(std::vector<candidate>& candidates, const cw_selection_criteria& criteria,
                      cw_boot_time now) {
    std::vector<const candidate*> references;
    for (const auto& item : candidates) {
        if (!item.is_ramping && item.stats->has_responded()) {
            references.push_back(&item);
        }
    }
    if (criteria.ramps == nullptr || references.empty()) {
        return;
    }
    for (auto& item : candidates) {
        if (item.reference_draw) {
            const auto index = static_cast<std::size_t>(*item.reference_draw *
                                                        static_cast<double>(references.size()));
            const auto& reference = *references[std::min(index, references.size() - 1)];
            item.expected_seconds = uncertain_seconds(item, reference, now) *
                                    time_factor(*item.upstream, criteria, now);
        }
    }
}

/// False if the upstream's ramp excludes this request from choosing it. Sets the candidate's
/// reference draw if its expected time says too little.
bool is_admitted_by_ramp(candidate& item, const cw_selection_criteria& criteria, cw_boot_time now) {
    if (criteria.ramps == nullptr) {
        return true;
    }
    auto* ramp = criteria.ramps->find(*item.upstream, now);
    if (ramp != nullptr && !ramp->admits(criteria.draw(), now)) {
        return false;
    }
    item.is_ramping = ramp != nullptr;
    if (item.is_ramping || item.stats->certainty() < 1.0) {
        item.reference_draw = criteria.draw();
    }
    return true;
}

/// If any candidate of the own failure domain answers within the acceptable time, removes all
/// others.
void prefer_local_domain(std::vector<candidate>& candidates,
                         const cw_selection_criteria& criteria) {
    const double max_seconds = std::chrono::duration<double>(criteria.acceptable_time).count();
    const auto is_acceptable = [&](const candidate& item) {
        return item.upstream->domain == criteria.local_domain &&
               item.expected_seconds <= max_seconds;
    };
    if (std::any_of(candidates.begin(), candidates.end(), is_acceptable)) {
        std::erase_if(candidates, [&](const candidate& item) { return !is_acceptable(item); });
    }
}

} // namespace

const cw_upstream_entry* cw_select_upstream(
    const std::vector<cw_upstream_entry>& upstreams, const cw_selection_criteria& criteria,
    const std::function<const cw_upstream_stats&(const cw_upstream_entry&)>& stats_of,
    cw_boot_time now) {
    std::vector<candidate> candidates;
    // Upstreams that are not chosen by this request because of their ramps.
    std::vector<candidate> thinned;
    std::vector<candidate> avoided;
    for (const auto& upstream : upstreams) {
        const bool already_tried = criteria.tried_ids != nullptr &&
                                   std::find(criteria.tried_ids->begin(), criteria.tried_ids->end(),
                                             upstream.id) != criteria.tried_ids->end();
        if (already_tried) {
            continue;
        }
        const auto& stats = stats_of(upstream);
        if (now < stats.retry_after() || (criteria.admits && !criteria.admits(upstream))) {
            continue;
        }
        double expected_seconds =
            std::chrono::duration<double>(stats.expected_time(upstream.slots, now)).count();
        expected_seconds *= now < upstream.warm_at ? cold_start_factor : 1.0;
        expected_seconds *= upstream.domain == criteria.local_domain ? 1.0 : remote_domain_factor;
        candidate item{&upstream, expected_seconds, &stats};
        if (stats.is_avoided(now)) {
            avoided.push_back(item);
        } else if (is_admitted_by_ramp(item, criteria, now)) {
            candidates.push_back(item);
        } else {
            thinned.push_back(item);
        }
    }
    if (!thinned.empty() && !candidates.empty()) {
        criteria.ramps->on_skipped();
    }
    apply_references(candidates, criteria, now);
    // An upstream in its ramp is chosen before those that failed or were busy a moment ago.
    auto& eligible = !candidates.empty() ? candidates : thinned.empty() ? avoided : thinned;
    if (eligible.empty()) {
        return nullptr;
    }
    prefer_local_domain(eligible, criteria);
    const auto best_seconds =
        std::min_element(eligible.begin(), eligible.end(), [](const auto& left, const auto& right) {
            return left.expected_seconds < right.expected_seconds;
        })->expected_seconds;
    std::erase_if(eligible, [best_seconds](const auto& item) {
        return item.expected_seconds > best_seconds * tie_factor;
    });
    return eligible[criteria.random_number % eligible.size()].upstream;
}
