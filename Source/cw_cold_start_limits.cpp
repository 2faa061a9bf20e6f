#include "cw_cold_start_limits.h"

#include <algorithm>
#include <utility>

namespace {

std::string key_of(const cw_upstream_entry& upstream) {
    return upstream.service + "/" + upstream.id + "#" + std::to_string(upstream.incarnation);
}

/// When the upstream is warm. The entry of one whose domain has just returned to service may not
/// yet state that it is cold.
cw_boot_time warm_at(const cw_upstream_entry& upstream, const cw_gateway_view& view) {
    const auto& returned = view.evacuations.returned;
    const auto found = returned.find(upstream.domain);
    return found == returned.end() ? upstream.warm_at : std::max(upstream.warm_at, found->second);
}

/// One host's part of a rate; 0 if the number of hosts is unknown.
double rate_per_host(double rate, std::uint32_t hosts) {
    return hosts == 0 ? 0.0 : rate / hosts;
}

} // namespace

void cw_cold_start_limits::on_view(const cw_gateway_view& view, const std::function<double()>& draw,
                                   cw_boot_time now) {
    target_rates_.clear();
    upstream_map kept;
    if (view.config != nullptr) {
        for (const auto& [name, service] : view.config->services()) {
            if (service.cold_rate <= 0.0) {
                continue;
            }
            const double rate = cw_cold_target_rate(service.cold_rate, overage_, slack_);
            target_rates_[name] = rate;
            if (const auto list = view.upstreams->find(name); list != view.upstreams->end()) {
                for (const auto& upstream : list->second) {
                    keep_if_cold(upstream, warm_at(upstream, view), rate, kept, draw, now);
                }
            }
        }
    }
    for (const auto& [key, upstream] : upstreams_) {
        if (!kept.contains(key)) {
            record_change(upstream, false);
        }
    }
    upstreams_ = std::move(kept);
}

void cw_cold_start_limits::keep_if_cold(const cw_upstream_entry& upstream, cw_boot_time warm_at,
                                        double rate, upstream_map& kept,
                                        const std::function<double()>& draw, cw_boot_time now) {
    const auto known = upstreams_.empty() ? upstreams_.end() : upstreams_.find(key_of(upstream));
    const auto refused_until =
        known == upstreams_.end() ? cw_boot_time{} : known->second.refused_until;
    if (now >= std::max(warm_at, refused_until)) {
        return;
    }
    if (known != upstreams_.end()) {
        auto& state = kept.emplace(known->first, known->second).first->second;
        state.rate = rate;
        state.warm_at = warm_at;
        return;
    }
    const auto added = kept.emplace(
        key_of(upstream),
        cold_upstream{
            upstream.id, upstream.service, rate, cw_cold_start_limit{draw(), now}, warm_at, {}});
    record_change(added.first->second, true);
}

void cw_cold_start_limits::on_connect_refused(const cw_upstream_entry& upstream, double draw,
                                              cw_boot_time now) {
    const auto rate = target_rates_.find(upstream.service);
    if (rate == target_rates_.end()) {
        return;
    }
    const auto [found, is_new] =
        upstreams_.try_emplace(key_of(upstream), cold_upstream{upstream.id,
                                                               upstream.service,
                                                               rate->second,
                                                               cw_cold_start_limit{draw, now},
                                                               upstream.warm_at,
                                                               {}});
    found->second.refused_until = now + refused_time;
    if (is_new) {
        record_change(found->second, true);
    }
}

void cw_cold_start_limits::drop_warm(cw_boot_time now) {
    std::erase_if(upstreams_, [&](const auto& item) {
        const bool is_warm = now >= item.second.end();
        if (is_warm) {
            record_change(item.second, false);
        }
        return is_warm;
    });
}

cw_cold_start_limits::cold_upstream*
cw_cold_start_limits::find_cold(const cw_upstream_entry& upstream, cw_boot_time now) {
    if (upstreams_.empty()) {
        return nullptr;
    }
    const auto found = upstreams_.find(key_of(upstream));
    return found == upstreams_.end() || now >= found->second.end() ? nullptr : &found->second;
}

bool cw_cold_start_limits::admits(const cw_upstream_entry& upstream, std::uint32_t hosts,
                                  cw_boot_time now) {
    auto* cold = find_cold(upstream, now);
    return cold == nullptr || cold->bucket.admits(rate_per_host(cold->rate, hosts), now);
}

bool cw_cold_start_limits::on_sent(const cw_upstream_entry& upstream, cw_boot_time now) {
    auto* cold = find_cold(upstream, now);
    if (cold != nullptr) {
        cold->bucket.on_sent();
    }
    return cold != nullptr;
}

std::chrono::milliseconds cw_cold_start_limits::admission_delay(const cw_upstream_entry& upstream,
                                                                std::uint32_t hosts,
                                                                cw_boot_time now) {
    auto* cold = find_cold(upstream, now);
    if (cold == nullptr) {
        return std::chrono::milliseconds{0};
    }
    const auto delay = cold->bucket.admission_delay(rate_per_host(cold->rate, hosts), now);
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::min<std::chrono::nanoseconds>(delay, cold->end() - now));
}

cw_boot_time cw_cold_start_limits::next_end() const {
    auto earliest = cw_boot_time::max();
    for (const auto& [key, upstream] : upstreams_) {
        earliest = std::min(earliest, upstream.end());
    }
    return earliest;
}

void cw_cold_start_limits::record_change(const cold_upstream& upstream, bool is_cold) {
    changes_.push_back({upstream.id, upstream.service, upstream.rate, is_cold});
}

std::vector<cw_cold_start_limits::change> cw_cold_start_limits::take_changes() {
    return std::exchange(changes_, {});
}
