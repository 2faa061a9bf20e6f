#include "cw_slice_table.h"

#include <doctest/doctest.h>
#include <limits>
#include <vector>

namespace {

/// Three upstreams with two slices each.
struct table_fixture {
    std::vector<cw_upstream_location> locations{
        {"a", "d0", "x:1"}, {"b", "d0", "x:2"}, {"c", "d1", "x:3"}};
    cw_slice_table table = cw_slice_table::initial("gallery", locations, 2);
};

constexpr auto ring_end = std::numeric_limits<std::uint64_t>::max();

} // namespace

TEST_CASE_FIXTURE(table_fixture, "table_initial_covers_ring_in_equal_shares") {
    CHECK(table.slices().size() == 6);
    CHECK(table.slices().front().first == 0);
    CHECK(table.slices().back().last == ring_end);
    CHECK(table.owned_by("a").size() == 2);
    CHECK(table.slice_of(0).owner == "a");
    CHECK(table.slice_of(ring_end).owner == "c");
}

TEST_CASE_FIXTURE(table_fixture, "table_written_is_read_back_the_same") {
    table.set_writer("k.1.1");
    const auto read = cw_slice_table::parse(table.to_json());
    REQUIRE(read);
    CHECK(read->slices() == table.slices());
    CHECK(read->owners() == table.owners());
    CHECK(read->writer() == "k.1.1");
}

TEST_CASE_FIXTURE(table_fixture, "slice_moved_raises_fences_of_both_and_of_no_other") {
    const auto slice = table.slices().front();
    const std::vector<cw_slice_move> moves{{slice.first, slice.last, "a", locations[1]}};
    const auto next = table.with_moves(moves, 5);
    CHECK(next.slice_of(0).owner == "b");
    CHECK(next.slice_of(0).generation == 5);
    CHECK(next.fence_of("a") == 5);
    CHECK(next.fence_of("b") == 5);
    CHECK(next.fence_of("c") == 1);
    CHECK(next.owned_by("c") == table.owned_by("c"));
}

TEST_CASE_FIXTURE(table_fixture, "part_of_slice_moved_splits_it") {
    const std::vector<cw_slice_move> moves{{100, 100, "a", locations[2]}};
    const auto next = table.with_moves(moves, 2);
    CHECK(next.slices().size() == 8);
    CHECK(next.slice_of(99).owner == "a");
    CHECK(next.slice_of(100).owner == "c");
    CHECK(next.slice_of(101).owner == "a");
    CHECK(next.slice_of(101).generation == 1);
}

TEST_CASE_FIXTURE(table_fixture, "range_owned_by_another_is_not_moved") {
    const std::vector<cw_slice_move> moves{{0, ring_end, "a", locations[1]}};
    const auto next = table.with_moves(moves, 2);
    CHECK_FALSE(next.owns_slices("a"));
    CHECK(next.owned_by("c") == table.owned_by("c"));
}

TEST_CASE("table_with_gap_is_refused") {
    CHECK_FALSE(cw_slice_table::parse(
        R"({"service":"s","epoch":1,"writer":"","owners":[["a","d","x:1",1]],"slices":[[5,0,1]]})"));
    CHECK_FALSE(cw_slice_table::parse("[]"));
    CHECK_FALSE(cw_slice_table::parse("{"));
}
