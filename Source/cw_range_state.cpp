#include "cw_range_state.h"

#include <algorithm>

namespace {

/// The ranges of a table that overlap a given range, with their states.
class overlapping_ranges {
public:
    overlapping_ranges(const cw_key_range& range, const cw_key_table& table,
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
        for (auto index = begin_; index < end_; ++index) {
            found = found || ranges_[index].owner == owner;
        }
        return found;
    }

    /// Latest end of an owner's leases. A range that was merged from several ranges has a lease for
    /// each of them.
    [[nodiscard]] cw_boot_time lease_end(const cw_key_owner& owner) const {
        cw_boot_time latest{};
        for (auto index = begin_; index < end_; ++index) {
            if (ranges_[index].owner == owner) {
                latest = std::max(latest, states_[index].lease_end);
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

cw_key_holder holder_of(const cw_key_owner& owner, const overlapping_ranges& known) {
    cw_key_holder result;
    for (const auto& holder : known.first_state().holders) {
        if (holder.upstream == owner) {
            result = holder;
        }
    }
    if (known.has_owner(owner)) {
        // The upstream has owned the keys since an earlier release and may hold a new lease.
        const auto granted = std::max(result.lease_end, known.lease_end(owner));
        result = {};
        result.lease_end = granted;
    }
    result.upstream = owner;
    result.next_release = {};
    return result;
}

} // namespace

cw_range_state cw_next_range_state(const cw_key_range& range, const cw_key_table& known,
                                   const std::vector<cw_range_state>& states) {
    const overlapping_ranges part{range, known, states};
    const auto& old_range = part.first_range();
    const auto& old = part.first_state();
    cw_range_state state;
    state.lease_end = part.lease_end(range.owner);
    if (old_range.fence == range.fence && old_range.owner == range.owner) {
        state.next_command = old.next_command;
        state.is_confirmed = old.is_confirmed;
        state.is_fenced = old.is_fenced;
        state.handover = old.handover;
    }
    if (old_range.owner == range.owner) {
        state.refused_fences = old.refused_fences;
    }
    for (const auto& owner : range.previous_owners) {
        state.holders.push_back(holder_of(owner, part));
    }
    return state;
}
