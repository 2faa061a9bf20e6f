#pragma once

#include <chrono>

/// Interval between two reports of a host if the steward answered the first one before it had to.
///
/// `cpu_capacity` is the host's capacity in cores, 0 if it is unknown. Keys may change owners
/// dozens of times a second, and each change makes the steward answer every host. A weak host that
/// processed each of these answers would be late with all its other work; with a longer interval it
/// gets several changes in one answer.
[[nodiscard]] std::chrono::milliseconds cw_report_interval(double cpu_capacity);
