#include "cw_lag_guard.h"
#include "cw_replication_lag.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

/// A guard whose limit is from 1,000 to 1,100 ms, and which waits 500 ms between reads.
struct guarded_copy {
    cw_boot_time now{100s};
    cw_lag_guard guard{{1'000ms, 100ms, 500ms, 100ms}, 3};

    bool is_read_due(std::chrono::milliseconds lag) { return guard.take_due_read(lag, now); }
    void end_read(cw_lag_read_result result) { guard.on_read_ended(result, now); }
    /// Time until the next read may start after one that ends now.
    std::chrono::milliseconds pause_after(cw_lag_read_result result) {
        REQUIRE(is_read_due(2'000ms));
        end_read(result);
        const auto ended_at = now;
        while (!is_read_due(2'000ms)) {
            now += 1ms;
        }
        end_read(cw_lag_read_result::refused);
        now += 500ms;
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - ended_at) - 500ms;
    }
};

struct copied_data {
    cw_boot_time now{100s};
    cw_replication_lag lag;
};

} // namespace

// -- when the store is read

TEST_CASE_FIXTURE(guarded_copy, "copy_below_the_limit_is_not_read") {
    CHECK_FALSE(is_read_due(999ms));
}

TEST_CASE_FIXTURE(guarded_copy, "copy_at_the_limit_is_read_once_at_a_time") {
    CHECK(is_read_due(1'100ms));
    now += 10s;
    CHECK_FALSE(is_read_due(11s));
}

TEST_CASE_FIXTURE(guarded_copy,
                  "copy_whose_read_was_refused_is_read_again_after_the_retry_interval") {
    CHECK(pause_after(cw_lag_read_result::refused) == 500ms);
    CHECK(pause_after(cw_lag_read_result::answered) == 500ms);
}

// Guards against a read that fails on a connection that went silent, and costs the whole bound.
TEST_CASE_FIXTURE(guarded_copy, "copy_whose_read_was_not_answered_is_read_again_soon") {
    CHECK(pause_after(cw_lag_read_result::unanswered) == 100ms);
}

TEST_CASE("hosts_whose_copies_lag_read_the_store_spread_over_time") {
    std::size_t early_count = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        cw_lag_guard guard{{1'000ms, 100ms, 500ms, 100ms}, seed * 7'919};
        early_count += guard.take_due_read(1'050ms, cw_boot_time{100s}) ? 1 : 0;
    }
    CHECK(early_count > 60);
    CHECK(early_count < 140);
}

// -- the lag

TEST_CASE_FIXTURE(copied_data, "copy_that_was_never_current_has_an_unknown_lag") {
    CHECK(lag.at(now) == cw_replication_lag::unknown);
}

TEST_CASE_FIXTURE(copied_data, "copy_confirmed_by_an_older_answer_keeps_its_lag") {
    lag.on_current_as_of(now - 200ms, now);
    lag.on_current_as_of(now - 700ms, now);
    CHECK(lag.at(now) == 200ms);
}

TEST_CASE_FIXTURE(copied_data, "peak_lag_is_that_before_the_copy_became_current_again") {
    lag.on_current_as_of(now, now);
    lag.on_current_as_of(now + 900ms, now + 900ms);
    CHECK(lag.take_peak(now + 1'000ms) == 900ms);
    CHECK(lag.take_peak(now + 1'000ms) == 100ms);
}
