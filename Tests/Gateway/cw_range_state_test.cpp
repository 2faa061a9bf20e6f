#include "cw_range_state.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

/// A steward's table in which an upstream owns two adjacent ranges whose leases end at different
/// times.
struct two_ranges {
    const cw_key_owner owner{"u1", 1, "10.0.0.1:1"};
    const cw_key_owner other{"u2", 1, "10.0.0.2:1"};
    const cw_boot_time early_end{10s};
    const cw_boot_time late_end{11s};
    cw_key_table known;
    std::vector<cw_range_state> states{2};

    two_ranges() {
        known.ranges = {{0, 99, owner, 1, {}}, {100, cw_last_key, owner, 2, {}}};
        states[0].lease_end = early_end;
        states[1].lease_end = late_end;
    }

    /// Merges all keys into one range and moves some of them, as a plan for balance does.
    [[nodiscard]] cw_range_state state_after_move(std::uint32_t first, std::uint32_t last) const {
        auto next = known;
        next.merge_settled_ranges();
        next.apply({{first, last, other}});
        return cw_next_range_state(next.range_of(first), known, states);
    }
};

} // namespace

TEST_CASE_FIXTURE(two_ranges,
                  "holder_of_keys_joined_from_two_ranges_is_awaited_to_the_later_lease") {
    const auto state = state_after_move(50, 149);
    REQUIRE(state.holders.size() == 1);
    CHECK(state.holders.front().upstream == owner);
    CHECK(state.holders.front().lease_end == late_end);
}

TEST_CASE_FIXTURE(two_ranges, "holder_of_keys_of_one_range_is_awaited_to_its_own_lease") {
    const auto state = state_after_move(50, 98);
    REQUIRE(state.holders.size() == 1);
    CHECK(state.holders.front().lease_end == early_end);
}

TEST_CASE_FIXTURE(two_ranges, "holder_that_was_free_is_awaited_anew_once_it_has_owned_the_keys") {
    states[0].holders.push_back({owner, early_end, {}, 7, true, early_end, true});
    const auto state = state_after_move(50, 149);
    REQUIRE(state.holders.size() == 1);
    CHECK(!state.holders.front().is_released);
    CHECK(state.holders.front().release_fence == 0);
    CHECK(state.holders.front().lease_end == late_end);
}
