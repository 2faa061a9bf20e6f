#pragma once

#include <chrono>
#include <cstdint>

/// Limits on the size and duration of callers' requests.
struct cw_caller_limits {
    std::uint32_t max_header_bytes = 16'384;
    std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
    /// Longest time from a request's first byte to the end of its header.
    std::chrono::milliseconds header_timeout{10'000};
    /// Longest time that a keep-alive connection may be idle.
    std::chrono::milliseconds idle_timeout{60'000};
};
