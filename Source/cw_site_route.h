#pragma once

#include "cw_site_part.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Where requests of one host name and path prefix go, and what may be done with them.
struct cw_site_route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<cw_site_part> parts;
    /// True when a request may run more than once.
    bool repeatable = false;
    /// Upstreams to which one request may be sent, the first included.
    std::uint32_t max_attempts = 1;
    /// Longest time until the final answer.
    std::chrono::milliseconds timeout{30'000};
    /// Time within which an answer has its full use to the caller.
    std::chrono::milliseconds target{1'000};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
};
