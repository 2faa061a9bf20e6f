#include "cw_ownership_bench.h"

#include <doctest/doctest.h>
#include <memory>

using namespace std::chrono_literals;

namespace {

constexpr double max_imbalance = 1.15;

/// Ten upstreams in two domains under Zipf load; the hottest key has less load than the mean.
struct skewed_load_fixture {
    skewed_load_fixture() {
        bench.run(3s);
        REQUIRE(bench.unowned() == 0);
        bench.set_load(source, 3'000);
        (void)bench.take_churn();
    }

    /// Runs in steps of 5 s until the load is balanced or the timeout has passed. Returns the time
    /// taken.
    std::chrono::milliseconds run_until_balanced(std::chrono::milliseconds timeout) {
        std::chrono::milliseconds passed{0};
        while (passed < timeout && bench.imbalance() > max_imbalance) {
            bench.run(5s);
            passed += 5s;
        }
        return passed;
    }

    std::shared_ptr<cw_load_source> source = std::make_shared<cw_load_source>(2'000, 0.9, 11);
    cw_ownership_bench bench{{.upstreams = 5, .slices_per_upstream = 8, .churn_budget = 16}};
};

} // namespace

TEST_CASE_FIXTURE(skewed_load_fixture, "load_of_zipf_popularity_is_balanced_under_the_bound") {
    REQUIRE(source->share_of_hottest() < 0.1);
    const auto before = bench.imbalance();
    const auto passed = run_until_balanced(120s);
    const auto churn = bench.take_churn();
    MESSAGE("imbalance " << before << " to " << bench.imbalance() << " in " << passed.count()
                         << " ms, share of the ring moved " << churn);
    CHECK(bench.imbalance() <= max_imbalance);
    CHECK(passed <= 60s);
    bench.reset_gaps();
    bench.run(60s);
    CHECK(bench.imbalance() <= max_imbalance);
    const auto later_churn = bench.take_churn();
    MESSAGE("share of the ring moved in the minute after " << later_churn);
    CHECK(later_churn <= 0.05);
    CHECK(bench.longest_gap() <= 100ms);
    CHECK(bench.two_owner_moments() == 0);
    CHECK(bench.mixed_fences() == 0);
}

TEST_CASE_FIXTURE(skewed_load_fixture,
                  "changed_hot_keys_are_balanced_within_minutes_in_a_bounded_table") {
    for (int round = 0; round < 6; ++round) {
        source->shuffle();
        const auto passed = run_until_balanced(180s);
        CHECK_MESSAGE(bench.imbalance() <= max_imbalance, "round " << round);
        CHECK_MESSAGE(passed <= 120s, "round " << round);
    }
    MESSAGE("slices after 6 changes " << bench.stored_table()->slices().size()
                                      << ", share of the ring moved " << bench.take_churn());
    CHECK(bench.stored_table()->slices().size() <= 20 * 10);
    CHECK(bench.two_owner_moments() == 0);
    CHECK(bench.mixed_fences() == 0);
}

TEST_CASE("changed_hot_keys_are_balanced_after_25_seconds") {
    // The setup of Tests/Estate/imbalance.sh with several seeds: measured for 12 s, from 25 s after
    // the change.
    constexpr int measured_seconds = 12;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        cw_ownership_bench bench{{.seed = seed,
                                  .domains = 4,
                                  .keepers = 1,
                                  .upstreams = 3,
                                  .slices_per_upstream = 4,
                                  .churn_budget = 6,
                                  .hold_down = 5s}};
        const auto source = std::make_shared<cw_load_source>(2'000, 0.9, seed);
        bench.run(3s);
        bench.set_load(source, 1'500);
        bench.run(37s);
        source->shuffle();
        bench.run(25s);
        double sum = 0.0;
        for (int second = 0; second < measured_seconds; ++second) {
            bench.run(1s);
            sum += bench.imbalance();
        }
        CHECK_MESSAGE(sum / measured_seconds <= max_imbalance, "seed " << seed);
    }
}

TEST_CASE("key_hotter_than_the_mean_leaves_the_others_balanced") {
    cw_ownership_bench bench{{.upstreams = 5, .slices_per_upstream = 8, .churn_budget = 16}};
    const auto source = std::make_shared<cw_load_source>(5'000, 1.2, 5);
    bench.run(3s);
    bench.set_load(source, 4'000);
    bench.run(120s);
    // The hottest key has more than a tenth of the load, and its owner has nothing else to move.
    REQUIRE(source->share_of_hottest() > 0.15);
    CHECK(bench.imbalance() <= source->share_of_hottest() * 10 * 1.05);
    CHECK(bench.two_owner_moments() == 0);
}

TEST_CASE("traffic_below_the_sample_minimum_moves_nothing") {
    cw_ownership_bench bench{{.upstreams = 5, .slices_per_upstream = 8, .churn_budget = 16}};
    bench.run(3s);
    (void)bench.take_churn();
    bench.set_load(std::make_shared<cw_load_source>(5'000, 0.9, 3), 12);
    bench.run(120s);
    CHECK(bench.take_churn() == 0.0);
}

TEST_CASE_FIXTURE(skewed_load_fixture, "load_of_an_unresponsive_host_is_dropped") {
    bench.run(60s);
    REQUIRE(bench.load_seen("d0k0") > 2'800.0);
    bench.kill("d1k2");
    bench.run(20s);
    // One of six routers no longer reports, so a sixth of the load is dropped. In operation its
    // callers move to other routers over time.
    CHECK(bench.load_seen("d0k0") < 2'600.0);
    CHECK(bench.load_seen("d0k0") > 2'300.0);
}
