#pragma once

/// Time types shared by the whole product. The decision code only receives time points; it never
/// reads a clock.

#include <chrono>

/// A reading of this process's own monotonic clock.
using cw_time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/// Tag of the monotonic clock of one upstream. Readings of two upstreams cannot be compared.
struct cw_upstream_clock {
    using rep = std::chrono::microseconds::rep;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<cw_upstream_clock>;
    static constexpr bool is_steady = true;
};

/// A reading of an upstream's own monotonic clock, as that upstream sent it.
using cw_upstream_time = cw_upstream_clock::time_point;
