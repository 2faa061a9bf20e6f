#pragma once

#include <chrono>

/// Pause of a host between two reports to a steward that has answered sooner than it had to.
///
/// `strength` is that of cw_host_place. The load that it answers: a service whose keys change
/// owners dozens of times a second, each time with an answer to every host. A weak host that took
/// all of them would be late with everything else; it takes several changes at once instead.
[[nodiscard]] std::chrono::milliseconds cw_report_interval(double cpu_capacity);
