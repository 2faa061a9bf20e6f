#include "cw_limit_table.h"

#include "cw_upstream_entry.h"

#include <algorithm>

namespace {

using namespace std::chrono_literals;

/// Time since the last observation after which a limit that is lifted, or any other, is forgotten.
constexpr auto lifted_memory = 5s;
constexpr auto limit_memory = 2min;

std::pair<std::string, std::uint64_t> key_of(const cw_upstream_entry& upstream) {
    return {upstream.id, upstream.incarnation};
}

} // namespace

cw_limit_table::change cw_limit_table::on_answer(const cw_upstream_entry& upstream,
                                                 std::optional<double> limit, double draw,
                                                 cw_boot_time now) {
    if (is_empty_ && !limit) {
        return change::none;
    }
    const std::scoped_lock lock{mutex_};
    const auto found = limits_.find(key_of(upstream));
    if (found == limits_.end() && !limit) {
        return change::none;
    }
    auto& entry = found == limits_.end() ? limits_[key_of(upstream)] : found->second;
    const bool was_limited = entry.limit().has_value();
    entry.on_observed(limit, draw, now);
    is_empty_ = false;
    if (was_limited == limit.has_value()) {
        return change::none;
    }
    return limit ? change::named : change::lifted;
}

bool cw_limit_table::admits(const cw_upstream_entry& upstream, double draw, cw_boot_time now) {
    if (is_empty_) {
        return true;
    }
    const std::scoped_lock lock{mutex_};
    const auto found = limits_.find(key_of(upstream));
    if (found == limits_.end()) {
        return true;
    }
    return found->second.admits(hosts_, draw, now);
}

void cw_limit_table::on_sent(const cw_upstream_entry& upstream) {
    if (is_empty_) {
        return;
    }
    const std::scoped_lock lock{mutex_};
    const auto found = limits_.find(key_of(upstream));
    if (found != limits_.end()) {
        found->second.on_sent();
    }
}

std::chrono::milliseconds cw_limit_table::retry_delay(const cw_upstream_entry& upstream,
                                                      cw_boot_time now) const {
    if (is_empty_) {
        return 0ms;
    }
    const std::scoped_lock lock{mutex_};
    const auto found = limits_.find(key_of(upstream));
    const bool is_limited = found != limits_.end() && found->second.limit();
    return is_limited ? found->second.retry_delay(now) : 0ms;
}

void cw_limit_table::forget_unused(cw_boot_time now) {
    std::erase_if(limits_, [now](const auto& item) {
        const auto memory = item.second.limit() ? limit_memory : lifted_memory;
        return now > item.second.observed_at() + memory;
    });
    is_empty_ = limits_.empty();
}

std::vector<cw_limit_report> cw_limit_table::take_reports(cw_boot_time now) {
    const std::scoped_lock lock{mutex_};
    forget_unused(now);
    std::vector<cw_limit_report> reports;
    for (auto& [key, entry] : limits_) {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - entry.observed_at());
        reports.push_back({key.first, key.second, entry.limit(), age, entry.take_wanted()});
    }
    return reports;
}

void cw_limit_table::apply(std::uint32_t hosts, const std::vector<cw_limit_share>& shares,
                           cw_boot_time now) {
    const std::scoped_lock lock{mutex_};
    hosts_ = hosts;
    for (const auto& share : shares) {
        const double draw = std::uniform_real_distribution<>{}(engine_);
        const auto found = limits_.find({share.id, share.incarnation});
        if (found != limits_.end()) {
            found->second.on_share(share, draw, now);
        } else if (share.limit) {
            limits_[{share.id, share.incarnation}].on_share(share, draw, now);
            is_empty_ = false;
        }
    }
}

std::uint32_t cw_limit_table::hosts() const {
    const std::scoped_lock lock{mutex_};
    return hosts_;
}

std::size_t cw_limit_table::size() const {
    const std::scoped_lock lock{mutex_};
    return static_cast<std::size_t>(std::count_if(
        limits_.begin(), limits_.end(), [](const auto& item) { return item.second.limit(); }));
}
