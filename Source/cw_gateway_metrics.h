#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

/// Counters, gauges and latency histograms of a gateway. Safe to use from any thread.
class cw_gateway_metrics {
public:
    /// Adds to a counter. `name` lacks the prefix "cuminwinch_" and the suffix "_total".
    void increment(const std::string& name, std::uint64_t amount = 1);
    /// Sets a gauge. `name` lacks the prefix "cuminwinch_".
    void set_gauge(const std::string& name, double value);
    /// Adds a request's total time to the latency histogram of its route.
    void observe_latency(const std::string& route, std::chrono::nanoseconds elapsed);
    /// All metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string exposition() const;

private:
    /// Upper bounds of the histogram's buckets in seconds; the last bucket (+Inf) is unbounded.
    static constexpr std::array<double, 10> bucket_bounds{0.005, 0.01, 0.025, 0.05, 0.1,
                                                          0.25,  0.5,  1.0,   2.5,  5.0};
    struct histogram {
        boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::count,
                                               boost::accumulators::tag::sum,
                                               boost::accumulators::tag::max>>
            summary;
        std::array<std::uint64_t, bucket_bounds.size() + 1> buckets{};
    };

    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, histogram> histograms_;
};
