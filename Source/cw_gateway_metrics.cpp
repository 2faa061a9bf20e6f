#include "cw_gateway_metrics.h"

#include <algorithm>
#include <sstream>

namespace accumulators = boost::accumulators;

void cw_gateway_metrics::increment(const std::string& name, std::uint64_t amount) {
    const std::scoped_lock lock{mutex_};
    counters_[name] += amount;
}

void cw_gateway_metrics::set_gauge(const std::string& name, double value) {
    const std::scoped_lock lock{mutex_};
    gauges_[name] = value;
}

void cw_gateway_metrics::observe_latency(const std::string& route,
                                         std::chrono::nanoseconds elapsed) {
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const auto bucket = static_cast<std::size_t>(
        std::lower_bound(bucket_bounds.begin(), bucket_bounds.end(), seconds) -
        bucket_bounds.begin());
    const std::scoped_lock lock{mutex_};
    auto& entry = histograms_[route];
    entry.summary(seconds);
    ++entry.buckets.at(bucket);
}

std::string cw_gateway_metrics::exposition() const {
    const std::scoped_lock lock{mutex_};
    std::ostringstream text;
    for (const auto& [name, value] : counters_) {
        text << "cuminwinch_" << name << "_total " << value << '\n';
    }
    for (const auto& [name, value] : gauges_) {
        text << "cuminwinch_" << name << ' ' << value << '\n';
    }
    for (const auto& [route, entry] : histograms_) {
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < entry.buckets.size(); ++i) {
            cumulative += entry.buckets.at(i);
            text << "cuminwinch_latency_seconds_bucket{route=\"" << route << "\",le=\"";
            if (i < bucket_bounds.size()) {
                text << bucket_bounds.at(i);
            } else {
                text << "+Inf";
            }
            text << "\"} " << cumulative << '\n';
        }
        text << "cuminwinch_latency_seconds_sum{route=\"" << route << "\"} "
             << accumulators::sum(entry.summary) << '\n'
             << "cuminwinch_latency_seconds_count{route=\"" << route << "\"} "
             << accumulators::count(entry.summary) << '\n'
             << "cuminwinch_latency_seconds_max{route=\"" << route << "\"} "
             << accumulators::max(entry.summary) << '\n';
    }
    return text.str();
}
