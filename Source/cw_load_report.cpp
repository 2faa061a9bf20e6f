#include "cw_load_report.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace {

template <typename T>
T quantile(const std::vector<T>& sorted, double share) {
    if (sorted.empty()) {
        return T{};
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

/// Durations of the periods in which a key was unavailable, over all keys, in ascending order.
std::vector<std::chrono::milliseconds>
unavailability_times(const std::vector<cw_load_record>& records) {
    std::map<std::uint32_t, std::vector<const cw_load_record*>> by_key;
    for (const auto& record : records) {
        by_key[record.key].push_back(&record);
    }
    std::vector<std::chrono::milliseconds> times;
    for (const auto& [key, list] : by_key) {
        std::optional<cw_time_point> unavailable_since;
        for (const auto* record : list) {
            if (record->outcome != cw_load_outcome::answered) {
                unavailable_since = unavailable_since.value_or(record->intended_at);
            } else if (unavailable_since) {
                times.push_back(std::chrono::ceil<std::chrono::milliseconds>(record->finished_at -
                                                                             *unavailable_since));
                unavailable_since.reset();
            }
        }
        if (unavailable_since) {
            times.push_back(std::chrono::ceil<std::chrono::milliseconds>(list.back()->finished_at -
                                                                         *unavailable_since));
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

} // namespace

cw_load_report cw_load_report::from_records(const std::vector<cw_load_record>& records,
                                            std::chrono::seconds duration) {
    cw_load_report report;
    report.requests = records.size();
    std::vector<std::chrono::microseconds> latencies;
    std::map<std::string, std::size_t> per_upstream;
    for (const auto& record : records) {
        ++report.outcomes.at(static_cast<std::size_t>(record.outcome));
        if (record.outcome == cw_load_outcome::answered) {
            latencies.push_back(std::chrono::duration_cast<std::chrono::microseconds>(
                record.finished_at - record.intended_at));
            ++per_upstream[record.upstream];
        }
    }
    std::sort(latencies.begin(), latencies.end());
    report.p50 = quantile(latencies, 0.5);
    report.p99 = quantile(latencies, 0.99);
    report.p999 = quantile(latencies, 0.999);
    report.max = latencies.empty() ? std::chrono::microseconds{} : latencies.back();
    const auto answered = static_cast<double>(latencies.size());
    report.goodput = answered / static_cast<double>(duration.count());
    std::size_t max_count = 0;
    for (const auto& [upstream, count] : per_upstream) {
        max_count = std::max(max_count, count);
    }
    if (!per_upstream.empty()) {
        report.imbalance =
            static_cast<double>(max_count) * static_cast<double>(per_upstream.size()) / answered;
    }
    const auto periods = unavailability_times(records);
    report.unavailable_periods = periods.size();
    report.unavailable_p50 = quantile(periods, 0.5);
    report.unavailable_p99 = quantile(periods, 0.99);
    report.unavailable_max = periods.empty() ? std::chrono::milliseconds{} : periods.back();
    return report;
}

nlohmann::json cw_load_report::to_json() const {
    nlohmann::json value{{"requests", requests},
                         {"answered", outcomes[0]},
                         {"did_not_run", outcomes[1]},
                         {"unknown", outcomes[2]},
                         {"no_answer", outcomes[3]},
                         {"wrong_answer", outcomes[4]},
                         {"p50_us", p50.count()},
                         {"p99_us", p99.count()},
                         {"p999_us", p999.count()},
                         {"max_us", max.count()},
                         {"goodput", goodput},
                         {"imbalance", imbalance},
                         {"keys_away", unavailable_periods},
                         {"away_p50_ms", unavailable_p50.count()},
                         {"away_p99_ms", unavailable_p99.count()},
                         {"away_max_ms", unavailable_max.count()}};
    if (audit) {
        value["journal_entries"] = audit->journal_entries;
        value["unread_journals"] = unread_journals;
        value["answered_without_run"] = audit->answered_without_run;
        value["false_did_not_run"] = audit->false_did_not_run;
        value["doubled"] = audit->doubled;
        value["two_owner_moments"] = audit->two_owner_moments;
        value["first_two_owner_moment"] = audit->first_two_owner_moment;
    }
    return value;
}
