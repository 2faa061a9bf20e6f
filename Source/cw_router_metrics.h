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

/// Outcome of a caller's request: answered by an upstream, certainly not run, or possibly run
/// without an answer.
enum class cw_request_outcome { answered, did_not_run, unknown };

/// Request counts and latencies of one traffic thread. Safe to call from any thread.
class cw_router_metrics {
public:
    cw_router_metrics();

    /// Counts an answer to a caller and its latency.
    void on_answer(cw_request_outcome outcome, std::chrono::steady_clock::duration latency);
    /// Counts a further attempt of a request.
    void on_retry();
    /// Counts a caller that disconnected before its answer.
    void on_caller_left();
    /// Counts a request for the key with the given hash, which lies in the slice that begins at
    /// `first`.
    void count_key(const std::string& service, std::uint64_t first, std::uint64_t position);

    /// Requests per slice and per hot key since the last call, by service.
    [[nodiscard]] std::map<std::string, cw_service_load> take_loads();
    /// Metrics of the thread in Prometheus text format; `thread` becomes a label.
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
