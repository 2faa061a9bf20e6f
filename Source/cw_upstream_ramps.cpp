#include "cw_upstream_ramps.h"

#include "cw_site_config.h"

#include <algorithm>
#include <iterator>

namespace {

using namespace std::chrono_literals;

/// A response that takes longer than the usual service time by more than this factor is late.
constexpr int late_factor = 2;
/// A warm-up that ends later than known so far by more than this is another one. The ends that are
/// computed from two copies of an entry differ by the lags of the copies.
constexpr auto warm_up_tolerance = 500ms;

enum class verdict { good, neutral, bad };

verdict verdict_on(const cw_ramp_response& response, cw_boot_time now) {
    const bool is_late =
        response.usual_time && now - response.sent_at > late_factor * *response.usual_time;
    if (!response.is_success || is_late) {
        return verdict::bad;
    }
    const bool is_full = response.load && response.load->waiting > 0 &&
                         response.load->running >= response.load->slots;
    return is_full ? verdict::neutral : verdict::good;
}

} // namespace

void cw_upstream_ramps::set_config(const cw_site_config* config) {
    services_.clear();
    if (config != nullptr) {
        for (const auto& [name, service] : config->services()) {
            if (!service.keyed && service.cold_start > 0ms) {
                services_.insert(name);
            }
        }
    }
    std::erase_if(ramps_, [&](const auto& entry) { return !covers(entry.second.service); });
}

void cw_upstream_ramps::apply(const lists& before, const lists& listed, cw_boot_time now) {
    drop_ended(now);
    const bool is_first = std::all_of(before.begin(), before.end(),
                                      [](const auto& service) { return service.second.empty(); });
    std::set<upstream_key> present;
    for (const auto& service : services_) {
        std::map<upstream_key, cw_boot_time> known;
        if (const auto found = before.find(service); found != before.end()) {
            for (const auto& upstream : found->second) {
                known.emplace(key_of(upstream), upstream.warm_at);
            }
        }
        const auto found = listed.find(service);
        if (found == listed.end()) {
            continue;
        }
        for (const auto& upstream : found->second) {
            present.insert(key_of(upstream));
            if (is_first) {
                continue;
            }
            const auto earlier = known.find(key_of(upstream));
            const bool is_cold_again = earlier != known.end() && now < upstream.warm_at &&
                                       upstream.warm_at > earlier->second + warm_up_tolerance;
            if (auto* ramp = find(upstream, now); ramp != nullptr) {
                if (is_cold_again) {
                    ramp->restart(upstream.warm_at);
                }
            } else if (earlier == known.end() || is_cold_again) {
                start(upstream, cw_upstream_ramp::reason::started, now);
            }
        }
    }
    std::erase_if(ramps_, [&](const auto& entry) { return !present.contains(entry.first); });
}

void cw_upstream_ramps::start(const cw_upstream_entry& upstream, cw_upstream_ramp::reason why,
                              cw_boot_time now) {
    const auto [position, is_new] = ramps_.insert_or_assign(
        key_of(upstream),
        item{upstream.service, now, cw_upstream_ramp{why, std::max(now, upstream.warm_at)}});
    changes_.push_back(
        {upstream.id, upstream.service, false, why, position->second.ramp.share(now), 0, 0, 0ns});
}

cw_upstream_ramps::items::iterator cw_upstream_ramps::end(items::iterator position,
                                                          cw_boot_time now) {
    auto& [key, entry] = *position;
    auto& ramp = entry.ramp;
    changes_.push_back({key.first, entry.service, true, ramp.why(), ramp.share(now),
                        ramp.good_responses(), ramp.bad_responses(),
                        ramp.changed_at() - entry.started_at});
    return ramps_.erase(position);
}

cw_upstream_ramp* cw_upstream_ramps::find(const cw_upstream_entry& upstream, cw_boot_time now) {
    if (ramps_.empty()) {
        return nullptr;
    }
    const auto found = ramps_.find(key_of(upstream));
    return found == ramps_.end() || found->second.ramp.is_over(now) ? nullptr : &found->second.ramp;
}

void cw_upstream_ramps::on_response(const cw_upstream_entry& upstream,
                                    const cw_ramp_response& response, cw_boot_time now) {
    const auto found = ramps_.find(key_of(upstream));
    if (found == ramps_.end()) {
        return;
    }
    auto& ramp = found->second.ramp;
    switch (verdict_on(response, now)) {
    case verdict::good:
        ramp.on_good_response(response.sent_at, now);
        break;
    case verdict::bad:
        ramp.on_bad_response(response.sent_at, now);
        break;
    case verdict::neutral:
        break;
    }
    if (ramp.is_over(now)) {
        end(found, now);
    }
}

void cw_upstream_ramps::on_recovery(const cw_upstream_entry& upstream, cw_boot_time now) {
    if (!covers(upstream.service)) {
        return;
    }
    if (auto* ramp = find(upstream, now); ramp != nullptr) {
        ramp->restart(std::max(now, upstream.warm_at));
    } else {
        start(upstream, cw_upstream_ramp::reason::recovered, now);
    }
}

void cw_upstream_ramps::drop_ended(cw_boot_time now) {
    for (auto position = ramps_.begin(); position != ramps_.end();) {
        position = position->second.ramp.is_over(now) ? end(position, now) : std::next(position);
    }
}
