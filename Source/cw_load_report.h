#pragma once

#include "cw_load_audit.h"
#include "cw_load_record.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

/// Statistics of one run of the load tool.
struct cw_load_report {
    std::size_t requests = 0;
    /// Requests per outcome, in the order of cw_load_outcome.
    std::array<std::size_t, 5> outcomes{};
    /// Latency percentiles of answered requests, measured from the scheduled send times.
    std::chrono::microseconds p50{};
    std::chrono::microseconds p99{};
    std::chrono::microseconds p999{};
    std::chrono::microseconds max{};
    /// Answered requests per second.
    double goodput = 0.0;
    /// Answered requests of the busiest upstream, relative to the mean of all upstreams.
    double imbalance = 0.0;
    /// Periods in which a key was unavailable. A period lasts from the scheduled time of the first
    /// request that was not answered to the completion of the next answered one.
    std::size_t unavailable_periods = 0;
    std::chrono::milliseconds unavailable_p50{};
    std::chrono::milliseconds unavailable_p99{};
    std::chrono::milliseconds unavailable_max{};
    std::optional<cw_load_audit> audit;
    std::size_t unread_journals = 0;

    /// Computes the statistics. `duration` is the length of the run, for the goodput.
    [[nodiscard]] static cw_load_report from_records(const std::vector<cw_load_record>& records,
                                                     std::chrono::seconds duration);
    [[nodiscard]] nlohmann::json to_json() const;
};
