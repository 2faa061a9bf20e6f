#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

/// The share of the requests for an upstream that each host may send to it.
struct cw_limit_share {
    std::string id;
    std::uint64_t incarnation = 0;
    /// Limit of all hosts together in requests per second; none if the upstream names none any
    /// more.
    std::optional<double> limit;
    /// Time since the latest answer of the upstream that said so.
    std::chrono::milliseconds age{0};
    /// Share (0 to 1) of the requests that may be sent; none while the demand of all hosts is
    /// unknown.
    std::optional<double> admitted;
};
