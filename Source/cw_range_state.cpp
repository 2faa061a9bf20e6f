#include "cw_range_state.h"

#include <algorithm>
#include <utility>

cw_range_state cw_carry_over(const cw_key_range& range, const cw_key_table& known,
                             const std::vector<cw_range_state>& states) {
    cw_range_state state;
    const auto place = std::partition_point(
        known.ranges.begin(), known.ranges.end(),
        [&](const cw_key_range& earlier) { return earlier.last < range.first; });
    const auto& old_range = *place;
    const auto& old = states[static_cast<std::size_t>(place - known.ranges.begin())];
    auto shown = place;
    for (; shown != known.ranges.end() && shown->first <= range.last; ++shown) {
        if (shown->owner == range.owner) {
            const auto& shared = states[static_cast<std::size_t>(shown - known.ranges.begin())];
            state.hold_end = std::max(state.hold_end, shared.hold_end);
        }
    }
    if (old_range.fence == range.fence && old_range.owner == range.owner) {
        state.next_order = old.next_order;
        state.confirmed = old.confirmed;
        state.handover = old.handover;
    }
    for (const auto& owner : range.before) {
        cw_key_holder who;
        who.who = owner;
        for (const auto& holder : old.holders) {
            if (holder.who == owner) {
                who = holder;
            }
        }
        if (old_range.owner == owner) {
            who.hold_end = std::max(who.hold_end, old.hold_end);
            who.release_fence = 0;
            who.released_before = false;
            who.work_end = {};
            who.is_free = false;
        }
        who.next_release = {};
        state.holders.push_back(std::move(who));
    }
    return state;
}
