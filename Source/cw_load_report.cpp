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

/// Lengths of the times for which keys were not served.
std::vector<std::chrono::milliseconds> away_times(const std::vector<cw_load_record>& records) {
    std::map<std::uint32_t, std::vector<const cw_load_record*>> by_key;
    for (const auto& record : records) {
        by_key[record.key].push_back(&record);
    }
    std::vector<std::chrono::milliseconds> times;
    for (const auto& [key, list] : by_key) {
        std::optional<cw_time_point> since;
        for (const auto* record : list) {
            if (record->outcome != cw_load_outcome::answered) {
                since = since.value_or(record->intended);
            } else if (since) {
                times.push_back(
                    std::chrono::ceil<std::chrono::milliseconds>(record->finished - *since));
                since.reset();
            }
        }
        if (since) {
            times.push_back(
                std::chrono::ceil<std::chrono::milliseconds>(list.back()->finished - *since));
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

} // namespace

cw_load_report cw_load_report::make(const std::vector<cw_load_record>& records,
                                    std::chrono::seconds length) {
    cw_load_report report;
    report.requests = records.size();
    std::vector<std::chrono::microseconds> latencies;
    std::map<std::string, std::size_t> per_upstream;
    for (const auto& record : records) {
        ++report.outcomes.at(static_cast<std::size_t>(record.outcome));
        if (record.outcome == cw_load_outcome::answered) {
            latencies.push_back(std::chrono::duration_cast<std::chrono::microseconds>(
                record.finished - record.intended));
            ++per_upstream[record.upstream];
        }
    }
    std::sort(latencies.begin(), latencies.end());
    report.p50 = quantile(latencies, 0.5);
    report.p99 = quantile(latencies, 0.99);
    report.p999 = quantile(latencies, 0.999);
    report.max = latencies.empty() ? std::chrono::microseconds{} : latencies.back();
    const auto answered = static_cast<double>(latencies.size());
    report.goodput = answered / static_cast<double>(length.count());
    std::size_t busiest = 0;
    for (const auto& [upstream, count] : per_upstream) {
        busiest = std::max(busiest, count);
    }
    if (!per_upstream.empty()) {
        report.imbalance =
            static_cast<double>(busiest) * static_cast<double>(per_upstream.size()) / answered;
    }
    const auto times = away_times(records);
    report.keys_away = times.size();
    report.away_p50 = quantile(times, 0.5);
    report.away_p99 = quantile(times, 0.99);
    report.away_max = times.empty() ? std::chrono::milliseconds{} : times.back();
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
                         {"keys_away", keys_away},
                         {"away_p50_ms", away_p50.count()},
                         {"away_p99_ms", away_p99.count()},
                         {"away_max_ms", away_max.count()}};
    if (audit) {
        value["journal_entries"] = audit->journal_entries;
        value["unread_journals"] = unread_journals;
        value["answered_without_run"] = audit->answered_without_run;
        value["false_did_not_run"] = audit->false_did_not_run;
        value["doubled"] = audit->doubled;
        value["two_owner_moments"] = audit->two_owner_moments;
    }
    return value;
}
