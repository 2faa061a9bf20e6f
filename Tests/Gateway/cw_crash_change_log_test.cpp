#include "cw_crash_change_log.h"

#include <doctest/doctest.h>

namespace {

/// A change log with 600 suspected requests, as after many crashes.
struct populated_change_log {
    cw_crash_change_log change_log;
    cw_crash_counts counts;

    populated_change_log() {
        for (std::uint64_t fingerprint = 1; fingerprint <= 600; ++fingerprint) {
            counts[fingerprint] = 1;
        }
        publish();
    }

    void publish() { change_log.on_counts(std::make_shared<const cw_crash_counts>(counts)); }
};

} // namespace

TEST_CASE_FIXTURE(populated_change_log, "host_that_knows_all_crash_counts_gets_an_empty_delta") {
    const auto delta = change_log.delta_since(cw_crash_change_log::digest_of(counts));
    CHECK_FALSE(delta.is_full);
    CHECK(delta.counts.empty());
}

TEST_CASE_FIXTURE(populated_change_log, "host_that_knows_earlier_crash_counts_gets_the_changes") {
    const auto known = counts;
    for (std::uint64_t i = 0; i < 20; ++i) {
        counts[1'000 + i] = 1;
        counts.erase(1 + i);
        counts[100] = static_cast<std::uint32_t>(2 + i);
        publish();
    }
    const auto delta = change_log.delta_since(cw_crash_change_log::digest_of(known));
    CHECK_FALSE(delta.is_full);
    CHECK(delta.counts.size() == 41);
    CHECK(cw_crash_change_log::with_changes(known, delta.counts) == counts);
}

TEST_CASE_FIXTURE(populated_change_log, "host_that_knows_other_crash_counts_gets_the_full_set") {
    const auto delta = change_log.delta_since(cw_crash_change_log::digest_of({{7, 7}}));
    CHECK(delta.is_full);
    CHECK(delta.counts == counts);
}

TEST_CASE_FIXTURE(populated_change_log,
                  "crash_counts_equal_to_an_earlier_set_get_the_shortest_delta") {
    const auto initial_counts = counts;
    counts.erase(5);
    publish();
    counts[5] = 1;
    publish();
    counts[6] = 2;
    publish();
    const auto delta = change_log.delta_since(cw_crash_change_log::digest_of(initial_counts));
    CHECK(delta.counts.size() == 1);
    CHECK(cw_crash_change_log::with_changes(initial_counts, delta.counts) == counts);
}
