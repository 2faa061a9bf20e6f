#include "cw_heavy_hitters.h"
#include "cw_load_source.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

namespace {

/// A sketch of 64 counters and a stream in which one item of ten is item 7.
struct skewed_stream {
    skewed_stream() {
        for (std::uint64_t i = 0; i < 20'000; ++i) {
            add(i % 10 == 0 ? 7 : 1'000'000 + i);
        }
    }

    void add(std::uint64_t item) {
        sketch.add(item);
        ++exact_counts[item];
    }

    cw_heavy_hitters sketch{64};
    std::map<std::uint64_t, std::uint32_t> exact_counts;
};

} // namespace

TEST_CASE_FIXTURE(skewed_stream, "sketch_finds_the_frequent_item_and_no_other") {
    const auto found = sketch.take(1'000);
    REQUIRE(found.size() == 1);
    CHECK(found.front().item == 7);
    CHECK(found.front().count <= 2'000);
    CHECK(found.front().count >= 2'000 - 20'000 / 64);
}

TEST_CASE_FIXTURE(skewed_stream, "sketch_never_claims_more_than_was_seen") {
    for (const auto& hit : sketch.take(1)) {
        CHECK(hit.count <= exact_counts[hit.item]);
    }
}

TEST_CASE_FIXTURE(skewed_stream, "sketch_is_empty_after_take") {
    (void)sketch.take(1);
    CHECK(sketch.total() == 0);
    CHECK(sketch.take(1).empty());
}
