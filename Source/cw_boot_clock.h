#pragma once

#include <chrono>

/// Monotonic clock that includes the time in which the machine was suspended (CLOCK_BOOTTIME).
///
/// Lease times are measured with it, since std::chrono::steady_clock may stop during a suspension
/// while an upstream's lease continues.
struct cw_boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<cw_boot_clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept;
};

/// A time point of this host's boot clock, not comparable between hosts.
using cw_boot_time = cw_boot_clock::time_point;
