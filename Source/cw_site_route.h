#pragma once

#include "cw_site_part.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Route of the requests with one host name and path prefix: the services that run them, and the
/// limits that apply.
struct cw_site_route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<cw_site_part> parts;
    /// True when a request is idempotent, so that it may run more than once.
    bool repeatable = false;
    /// Most upstreams to which one request may be sent, including the first.
    std::uint32_t max_attempts = 1;
    /// Time limit for the final response.
    std::chrono::milliseconds timeout{30'000};
    /// Target latency: a response within this time is of full use to the caller.
    std::chrono::milliseconds target{1'000};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
};
