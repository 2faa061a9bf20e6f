#include "cw_planner.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>

namespace {

/// Five upstreams with eight slices each, all equally loaded.
struct loaded_table_fixture {
    loaded_table_fixture() {
        for (int i = 0; i < 5; ++i) {
            locations.push_back({"u" + std::to_string(i), "d" + std::to_string(i % 2), "x:1"});
        }
        table = cw_slice_table::initial("gallery", locations, 8);
        for (const auto& slice : table.slices()) {
            load.slices[slice.first] = 10.0;
        }
    }

    double imbalance(const cw_slice_table& of) const {
        const auto totals = cw_planner::upstream_loads(of, load, locations);
        const auto sum = std::accumulate(totals.begin(), totals.end(), 0.0);
        return *std::max_element(totals.begin(), totals.end()) *
               static_cast<double>(totals.size()) / sum;
    }

    std::vector<cw_upstream_location> locations;
    cw_slice_table table;
    cw_service_load load;
};

} // namespace

TEST_CASE_FIXTURE(loaded_table_fixture, "plan_when_balanced_moves_nothing") {
    CHECK(cw_planner::balance(table, load, locations, {1.15, 10}).empty());
}

TEST_CASE_FIXTURE(loaded_table_fixture, "loss_of_upstream_moves_its_slices_only") {
    const std::vector<std::string> lost{"u1"};
    auto remaining_locations = locations;
    remaining_locations.erase(remaining_locations.begin() + 1);
    const auto moves = cw_planner::reassign(table, load, lost, remaining_locations);
    CHECK(moves.size() == 8);
    CHECK(std::all_of(moves.begin(), moves.end(),
                      [](const auto& move) { return move.from == "u1" && move.to.id != "u1"; }));
    std::map<std::string, int> received;
    for (const auto& move : moves) {
        ++received[move.to.id];
    }
    CHECK(received.size() == 4);
    CHECK(std::all_of(received.begin(), received.end(),
                      [](const auto& entry) { return entry.second == 2; }));
}

TEST_CASE_FIXTURE(loaded_table_fixture, "loss_without_candidates_moves_nothing") {
    const std::vector<std::string> lost{"u1"};
    CHECK(cw_planner::reassign(table, load, lost, {}).empty());
}

TEST_CASE_FIXTURE(loaded_table_fixture, "joined_upstream_receives_within_budget") {
    locations.push_back({"u9", "d0", "x:1"});
    const auto moves = cw_planner::balance(table, load, locations, {1.15, 3});
    CHECK_FALSE(moves.empty());
    CHECK(moves.size() <= 3);
    CHECK(std::all_of(moves.begin(), moves.end(),
                      [](const auto& move) { return move.to.id == "u9"; }));
}

TEST_CASE_FIXTURE(loaded_table_fixture, "uneven_load_is_balanced_under_bound_in_rounds") {
    std::size_t rank = 1;
    for (auto& [first, rate] : load.slices) {
        rate = 100.0 / static_cast<double>(rank++);
    }
    std::uint64_t epoch = table.epoch();
    std::size_t moved = 0;
    for (int round = 0; round < 60; ++round) {
        const auto moves = cw_planner::balance(table, load, locations, {1.15, 4});
        if (moves.empty()) {
            break;
        }
        moved += moves.size();
        auto next = table.with_moves(moves, ++epoch);
        load = cw_planner::remap_load(load, table, next);
        table = std::move(next);
    }
    CHECK(imbalance(table) <= 1.15);
    CHECK(moved <= table.slices().size());
}
