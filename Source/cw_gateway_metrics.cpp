#include "cw_gateway_metrics.h"

#include <algorithm>
#include <sstream>

namespace accumulators = boost::accumulators;

void cw_gateway_metrics::count(const std::string& name, std::uint64_t by) {
    const std::scoped_lock lock{mutex_};
    counters_[name] += by;
}

void cw_gateway_metrics::set(const std::string& name, double value) {
    const std::scoped_lock lock{mutex_};
    values_[name] = value;
}

void cw_gateway_metrics::on_latency(const std::string& route, std::chrono::nanoseconds latency) {
    const double seconds = std::chrono::duration<double>(latency).count();
    const auto bucket = static_cast<std::size_t>(
        std::lower_bound(bounds.begin(), bounds.end(), seconds) - bounds.begin());
    const std::scoped_lock lock{mutex_};
    auto& known = latencies_[route];
    known.summary(seconds);
    ++known.buckets.at(bucket);
}

std::string cw_gateway_metrics::exposition() const {
    const std::scoped_lock lock{mutex_};
    std::ostringstream text;
    for (const auto& [name, value] : counters_) {
        text << "cuminwinch_" << name << "_total " << value << '\n';
    }
    for (const auto& [name, value] : values_) {
        text << "cuminwinch_" << name << ' ' << value << '\n';
    }
    for (const auto& [route, known] : latencies_) {
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < known.buckets.size(); ++i) {
            sum += known.buckets.at(i);
            text << "cuminwinch_latency_seconds_bucket{route=\"" << route << "\",le=\"";
            if (i < bounds.size()) {
                text << bounds.at(i);
            } else {
                text << "+Inf";
            }
            text << "\"} " << sum << '\n';
        }
        text << "cuminwinch_latency_seconds_sum{route=\"" << route << "\"} "
             << accumulators::sum(known.summary) << '\n'
             << "cuminwinch_latency_seconds_count{route=\"" << route << "\"} "
             << accumulators::count(known.summary) << '\n'
             << "cuminwinch_latency_seconds_max{route=\"" << route << "\"} "
             << accumulators::max(known.summary) << '\n';
    }
    return text.str();
}
