#pragma once

#include "cw_key_counter.h"
#include "cw_service_load.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

/// How a caller's request ended.
enum class cw_outcome { answered, did_not_run, unknown };

/// Counts and latencies of one traffic thread. Another thread may read them at any time.
class cw_router_metrics {
public:
    cw_router_metrics();

    void on_answer(cw_outcome outcome, std::chrono::steady_clock::duration latency);
    void on_retry();
    /// The caller went away before its answer.
    void on_caller_left();
    /// Counts a request for a key at the given position, which lies in the slice that begins at
    /// `first`.
    void count_key(const std::string& service, std::uint64_t first, std::uint64_t position);

    /// Requests per slice and for single hot keys since the last call, by service.
    [[nodiscard]] std::map<std::string, cw_service_load> take_loads();
    /// Text exposition of the thread's figures.
    [[nodiscard]] std::string exposition(std::size_t thread) const;

private:
    using latency_accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<
                    boost::accumulators::tag::count, boost::accumulators::tag::mean,
                    boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square>>;

    mutable std::mutex mutex_;
    latency_accumulator latency_accumulator_;
    std::array<std::uint64_t, 3> outcome_counts_{};
    std::uint64_t retry_count_ = 0;
    std::uint64_t abandoned_count_ = 0;
    std::unordered_map<std::string, cw_key_counter> key_counters_;
};
