#include "cw_report_interval.h"

#include <algorithm>

namespace {
using namespace std::chrono_literals;
constexpr auto min_interval = 20ms;
/// Capacity in cores from which a host reports at the shortest interval.
constexpr double full_rate_capacity = 0.2;
/// Factor by which the interval of the weakest host is longer.
constexpr double max_slowdown = 6.0;
} // namespace

std::chrono::milliseconds cw_report_interval(double cpu_capacity) {
    const double ratio = cpu_capacity > 0.0 ? full_rate_capacity / cpu_capacity : max_slowdown;
    const double slowdown = std::clamp(ratio, 1.0, max_slowdown);
    return std::chrono::duration_cast<std::chrono::milliseconds>(min_interval * slowdown);
}
