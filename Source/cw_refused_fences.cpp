#include "cw_refused_fences.h"

#include <algorithm>
#include <cstdint>

namespace {

constexpr std::uint64_t first_step = 64;
/// Factor by which each further refusal of the same owner lengthens the step.
constexpr std::uint64_t step_factor = 4;
constexpr std::uint64_t max_step = 65'536;

std::uint64_t step_after(std::uint32_t refusals) {
    auto step = first_step;
    for (std::uint32_t i = 1; i < refusals && step < max_step; ++i) {
        step *= step_factor;
    }
    return step;
}

} // namespace

std::size_t cw_raise_refused_fences(cw_key_table& table,
                                    const std::vector<cw_range_state>& states) {
    std::uint32_t refusals = 0;
    for (const auto& state : states) {
        refusals = std::max(refusals, state.is_fenced ? state.refused_fences : 0);
    }
    if (refusals == 0) {
        return 0;
    }
    table.last_fence += step_after(refusals);
    std::size_t count = 0;
    for (std::size_t index = 0; index < states.size(); ++index) {
        if (states[index].is_fenced) {
            table.ranges[index].fence = ++table.last_fence;
            ++count;
        }
    }
    return count;
}
