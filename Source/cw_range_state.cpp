#include "cw_range_state.h"

#include <algorithm>

namespace {

/// The part of a table that shares keys with a range, with its states.
class known_part {
public:
    known_part(const cw_key_range& range, const cw_key_table& table,
               const std::vector<cw_range_state>& states)
        : ranges_{table.ranges},
          states_{states},
          begin_{static_cast<std::size_t>(std::partition_point(ranges_.begin(), ranges_.end(),
                                                               [&](const cw_key_range& known) {
                                                                   return known.last < range.first;
                                                               }) -
                                          ranges_.begin())},
          end_{begin_} {
        while (end_ < ranges_.size() && ranges_[end_].first <= range.last) {
            ++end_;
        }
    }

    [[nodiscard]] const cw_key_range& first_range() const { return ranges_[begin_]; }
    [[nodiscard]] const cw_range_state& first_state() const { return states_[begin_]; }

    [[nodiscard]] bool has_owner(const cw_key_owner& owner) const {
        bool found = false;
        for (auto place = begin_; place < end_; ++place) {
            found = found || ranges_[place].owner == owner;
        }
        return found;
    }

    /// Latest end of what was granted to an owner. A range that was joined has a lease for each of
    /// its former ranges.
    [[nodiscard]] cw_boot_time hold_end(const cw_key_owner& owner) const {
        cw_boot_time latest{};
        for (auto place = begin_; place < end_; ++place) {
            if (ranges_[place].owner == owner) {
                latest = std::max(latest, states_[place].hold_end);
            }
        }
        return latest;
    }

private:
    const std::vector<cw_key_range>& ranges_;
    const std::vector<cw_range_state>& states_;
    std::size_t begin_;
    std::size_t end_;
};

cw_key_holder holder_of(const cw_key_owner& owner, const known_part& known) {
    cw_key_holder who;
    for (const auto& holder : known.first_state().holders) {
        if (holder.who == owner) {
            who = holder;
        }
    }
    if (known.has_owner(owner)) {
        // What it released before, it may have been granted again.
        const auto granted = std::max(who.hold_end, known.hold_end(owner));
        who = {};
        who.hold_end = granted;
    }
    who.who = owner;
    who.next_release = {};
    return who;
}

} // namespace

cw_range_state cw_carry_over(const cw_key_range& range, const cw_key_table& known,
                             const std::vector<cw_range_state>& states) {
    const known_part part{range, known, states};
    const auto& old_range = part.first_range();
    const auto& old = part.first_state();
    cw_range_state state;
    state.hold_end = part.hold_end(range.owner);
    if (old_range.fence == range.fence && old_range.owner == range.owner) {
        state.next_order = old.next_order;
        state.confirmed = old.confirmed;
        state.handover = old.handover;
    }
    for (const auto& owner : range.previous_owners) {
        state.holders.push_back(holder_of(owner, part));
    }
    return state;
}
