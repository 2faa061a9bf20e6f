#include "cw_report_pace.h"

#include <algorithm>

namespace {
using namespace std::chrono_literals;
constexpr auto least_pause = 20ms;
/// Strength from which a host takes each change as soon as it can.
constexpr double full_strength = 0.2;
/// How many times longer the weakest host waits.
constexpr double most_patience = 6.0;
} // namespace

std::chrono::milliseconds cw_report_pause(double strength) {
    const double lack = strength > 0.0 ? full_strength / strength : most_patience;
    const double patience = std::clamp(lack, 1.0, most_patience);
    return std::chrono::duration_cast<std::chrono::milliseconds>(least_pause * patience);
}
