#pragma once

#include "cw_load_audit.h"
#include "cw_load_record.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

/// Figures of one run of the load tool.
struct cw_load_report {
    std::size_t requests = 0;
    /// Requests per outcome, in the order of cw_load_outcome.
    std::array<std::size_t, 5> outcomes{};
    /// Latencies of answered requests from their intended send times.
    std::chrono::microseconds p50{};
    std::chrono::microseconds p99{};
    std::chrono::microseconds p999{};
    std::chrono::microseconds max{};
    /// Answered requests per second.
    double goodput = 0.0;
    /// Busiest upstream's answered requests over the mean.
    double imbalance = 0.0;
    /// Time for which keys were unavailable: from the intended time of the first request that was
    /// not answered to the end of the next one that was.
    std::size_t unavailable_periods = 0;
    std::chrono::milliseconds unavailable_p50{};
    std::chrono::milliseconds unavailable_p99{};
    std::chrono::milliseconds unavailable_max{};
    std::optional<cw_load_audit> audit;
    std::size_t unread_journals = 0;

    [[nodiscard]] static cw_load_report from_records(const std::vector<cw_load_record>& records,
                                                     std::chrono::seconds duration);
    [[nodiscard]] nlohmann::json to_json() const;
};
