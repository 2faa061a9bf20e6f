#pragma once

/// Time types shared by all programs. The decision code receives time points as arguments and never
/// reads a clock.

#include <chrono>

/// A point in time on this process's own monotonic clock.
using cw_time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/// Clock type of an upstream's monotonic clock, in microseconds. Time points of different upstreams
/// cannot be compared.
struct cw_upstream_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<cw_upstream_clock>;
    static constexpr bool is_steady = true;
};

/// A point in time on an upstream's own monotonic clock, as the upstream sent it.
using cw_upstream_time = cw_upstream_clock::time_point;
