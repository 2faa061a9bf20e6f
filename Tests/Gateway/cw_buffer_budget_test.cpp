#include "cw_buffer_budget.h"

#include <doctest/doctest.h>
#include <memory>

namespace {

/// A budget of 100 bytes with two buffers of one source and one of another.
struct shared_budget {
    using buffer = cw_buffer_budget::buffer;

    cw_buffer_budget budget{100};
    int evictions = 0;
    buffer first{budget, "a"};
    buffer second{budget, "a"};
    buffer other{budget, "b"};

    shared_budget() {
        for (auto* each : {&first, &second, &other}) {
            each->on_eviction([this] { ++evictions; });
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(shared_budget, "buffers_within_the_limit_are_kept") {
    first.resize(30);
    second.resize(30);
    other.resize(40);
    CHECK(budget.bytes() == 100);
    CHECK(evictions == 0);
}

TEST_CASE_FIXTURE(shared_budget, "limit_exceeded_evicts_the_largest_buffer_of_the_largest_source") {
    first.resize(25);
    second.resize(30);
    other.resize(45);
    other.resize(46);
    CHECK(second.is_evicted());
    CHECK_FALSE(first.is_evicted());
    CHECK_FALSE(other.is_evicted());
    CHECK(evictions == 1);
    CHECK(budget.bytes() == 71);
}

TEST_CASE_FIXTURE(shared_budget, "buffer_larger_than_the_limit_evicts_itself_only") {
    first.resize(10);
    other.resize(101);
    CHECK(other.is_evicted());
    CHECK_FALSE(first.is_evicted());
    CHECK(budget.bytes() == 10);
}

TEST_CASE_FIXTURE(shared_budget, "evicted_buffer_that_grows_does_not_count") {
    other.resize(101);
    other.resize(200);
    CHECK(budget.bytes() == 0);
    CHECK(evictions == 1);
}

TEST_CASE_FIXTURE(shared_budget, "destroyed_buffer_frees_its_bytes") {
    {
        buffer brief{budget, "c"};
        brief.resize(90);
        CHECK(budget.bytes() == 90);
    }
    CHECK(budget.bytes() == 0);
    first.resize(100);
    CHECK(evictions == 0);
}

TEST_CASE_FIXTURE(shared_budget, "pinned_buffer_counts_and_is_not_evicted") {
    first.resize(90);
    first.pin();
    other.resize(20);
    CHECK_FALSE(first.is_evicted());
    CHECK(other.is_evicted());
    CHECK(budget.bytes() == 90);
    first.resize(120);
    CHECK_FALSE(first.is_evicted());
    CHECK(budget.bytes() == 120);
}

TEST_CASE_FIXTURE(shared_budget, "peak_is_that_since_it_was_taken_last") {
    first.resize(80);
    first.resize(20);
    CHECK(budget.take_peak() == 80);
    CHECK(budget.take_peak() == 20);
}
