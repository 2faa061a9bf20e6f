#pragma once

#include <chrono>

/// Monotonic clock of the host that also counts the time in which the machine was suspended.
///
/// Leases are counted by it: a steady clock may stand still while an upstream's lease runs on.
struct cw_boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<cw_boot_clock>;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept;
};

/// A reading of this host's boot clock.
using cw_boot_time = cw_boot_clock::time_point;
