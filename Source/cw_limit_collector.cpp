#include "cw_limit_collector.h"

#include "cw_rate_limit.h"

#include <algorithm>
#include <numeric>

namespace {

using namespace std::chrono_literals;

constexpr auto expiry_interval = 250ms;
/// Length of the two periods over which the highest number of hosts is remembered.
constexpr auto peak_period = 5min;
/// Time after its last observation for which a limit is remembered, and for which an upstream is
/// remembered that names none any more.
constexpr auto limit_memory = 2min;
constexpr auto lifted_memory = 10s;

} // namespace

void cw_limit_collector::on_host_count(std::uint32_t hosts, cw_boot_time now) {
    if (now >= peak_period_end_) {
        last_peak_hosts_ = peak_hosts_;
        peak_hosts_ = 0;
        peak_period_end_ = now + peak_period;
    }
    peak_hosts_ = std::max(peak_hosts_, hosts);
}

std::uint32_t cw_limit_collector::hosts(cw_boot_time now) {
    on_host_count(static_cast<std::uint32_t>(last_reports_.size()), now);
    return std::max(peak_hosts_, last_peak_hosts_);
}

void cw_limit_collector::on_report(const std::string& host,
                                   const std::vector<cw_limit_report>& reports, cw_boot_time now) {
    last_reports_[host] = now;
    expire(now);
    for (const auto& report : reports) {
        record(report, now);
    }
}

void cw_limit_collector::record(const cw_limit_report& report, cw_boot_time now) {
    const upstream_key key{report.id, report.incarnation};
    if (upstreams_.size() >= max_upstreams && !upstreams_.contains(key)) {
        return;
    }
    const auto [found, is_new] = upstreams_.try_emplace(key);
    auto& upstream = found->second;
    if (is_new) {
        upstream.first_report_at = now;
    }
    const auto observed_at = now - report.age;
    if (observed_at > upstream.observed_at) {
        if (is_new || report.limit.has_value() != upstream.limit.has_value()) {
            upstream.changed_at = now;
        }
        upstream.limit = report.limit;
        upstream.observed_at = observed_at;
    }
    advance(upstream, now);
    upstream.wanted.back() += report.wanted;
}

void cw_limit_collector::advance(upstream_limit& upstream, cw_boot_time now) {
    const auto slot = now.time_since_epoch() / slot_length;
    const auto steps = std::min<std::int64_t>(slot - upstream.current_slot, counted_slots + 1);
    upstream.current_slot = slot;
    std::rotate(upstream.wanted.begin(), upstream.wanted.begin() + steps, upstream.wanted.end());
    std::fill(upstream.wanted.end() - steps, upstream.wanted.end(), 0);
}

double cw_limit_collector::demand(const upstream_limit& upstream) {
    const auto complete_end = upstream.wanted.end() - 1;
    const auto rate_of = [&](std::size_t slots) {
        const auto sum = std::accumulate(complete_end - static_cast<std::ptrdiff_t>(slots),
                                         complete_end, std::uint64_t{0});
        return static_cast<double>(sum) /
               (std::chrono::duration<double>(slot_length).count() * static_cast<double>(slots));
    };
    // A rise counts at once, a fall after some time.
    return std::max(rate_of(recent_slots), rate_of(counted_slots));
}

std::optional<double> cw_limit_collector::admitted_share(upstream_limit& upstream,
                                                         cw_boot_time now) {
    if (!upstream.limit || now < upstream.first_report_at + learning_time) {
        return std::nullopt;
    }
    advance(upstream, now);
    const auto present = static_cast<double>(last_reports_.size());
    const double available =
        cw_target_rate(*upstream.limit) * present / std::max<double>(present, hosts(now));
    const double wanted = demand(upstream);
    return wanted <= available ? 1.0 : available / wanted;
}

void cw_limit_collector::expire(cw_boot_time now) {
    if (now < next_expiry_) {
        return;
    }
    next_expiry_ = now + expiry_interval;
    std::erase_if(last_reports_,
                  [now](const auto& item) { return now > item.second + host_timeout; });
    std::erase_if(upstreams_, [now](const auto& item) {
        const auto& upstream = item.second;
        return now > upstream.observed_at + limit_memory ||
               (!upstream.limit && now > upstream.changed_at + lifted_memory);
    });
}

std::vector<cw_limit_share>
cw_limit_collector::shares_for(const std::vector<cw_limit_report>& reports, cw_boot_time now) {
    std::vector<cw_limit_share> shares;
    for (auto& item : upstreams_) {
        const auto& key = item.first;
        auto& upstream = item.second;
        const bool is_news = now <= upstream.changed_at + news_time;
        const bool is_reported =
            std::any_of(reports.begin(), reports.end(), [&](const auto& report) {
                return report.id == key.first && report.incarnation == key.second;
            });
        if (is_news || is_reported) {
            const auto age =
                std::chrono::ceil<std::chrono::milliseconds>(now - upstream.observed_at);
            shares.push_back(
                {key.first, key.second, upstream.limit, age, admitted_share(upstream, now)});
        }
    }
    return shares;
}
