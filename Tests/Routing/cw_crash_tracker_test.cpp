#include "cw_crash_filter.h"
#include "cw_crash_tracker.h"
#include "cw_key_hash.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t poison = 42;

/// A crash tracker with default options, and a simulated clock.
struct tracker_fixture {
    void crash(const std::string& address) {
        tracker.on_crash(poison, address, now);
        now += 1s;
    }
    bool is_refused() const { return now < tracker.refused_until(poison); }
    bool is_keyed_refused() const { return now < tracker.keyed_refused_until(poison); }

    cw_time_point now{std::chrono::hours{1}};
    cw_crash_tracker tracker{cw_crash_options{}};
};

} // namespace

TEST_CASE_FIXTURE(tracker_fixture, "request_after_three_crashes_is_refused_for_a_minute") {
    crash("a:1");
    crash("b:1");
    CHECK_FALSE(is_refused());
    crash("c:1");
    CHECK(is_refused());
    now += 58s;
    CHECK(is_refused());
    now += 2s;
    CHECK_FALSE(is_refused());
}

TEST_CASE_FIXTURE(tracker_fixture, "keyed_request_after_a_crash_lets_others_of_its_key_go_first") {
    tracker.on_crash(poison, "a:1", now);
    CHECK_FALSE(is_refused());
    now += 849ms;
    CHECK(is_keyed_refused());
    now += 1ms;
    CHECK_FALSE(is_keyed_refused());
}

TEST_CASE_FIXTURE(tracker_fixture, "keyed_request_after_three_crashes_is_refused_as_long_as_any") {
    for (const auto* address : {"a:1", "b:1", "c:1"}) {
        crash(address);
    }
    CHECK(tracker.keyed_refused_until(poison) == tracker.refused_until(poison));
    CHECK(is_keyed_refused());
}

TEST_CASE_FIXTURE(tracker_fixture, "keyed_request_answered_after_a_crash_pauses_no_longer") {
    tracker.on_crash(poison, "a:1", now);
    tracker.on_answer(poison);
    CHECK_FALSE(is_keyed_refused());
}

TEST_CASE_FIXTURE(tracker_fixture, "request_that_crashes_again_is_refused_for_longer") {
    for (const auto* address : {"a:1", "b:1", "c:1"}) {
        crash(address);
    }
    now += 60s;
    CHECK_FALSE(is_refused());
    crash("d:1");
    now += 110s;
    CHECK(is_refused());
}

TEST_CASE_FIXTURE(tracker_fixture, "crash_seen_by_two_routers_counts_once") {
    CHECK(tracker.on_crash(poison, "a:1", now));
    CHECK_FALSE(tracker.on_crash(poison, "a:1", now + 20ms));
    CHECK(tracker.crash_count(poison) == 1);
}

TEST_CASE_FIXTURE(tracker_fixture, "request_answered_between_crashes_is_never_refused") {
    for (int i = 0; i < 10; ++i) {
        crash("a:1");
        crash("b:1");
        CHECK(tracker.on_answer(poison));
    }
    CHECK_FALSE(is_refused());
}

TEST_CASE_FIXTURE(tracker_fixture, "other_request_is_not_refused") {
    for (const auto* address : {"a:1", "b:1", "c:1"}) {
        crash(address);
    }
    CHECK(tracker.refused_until(poison + 1) < now);
}

TEST_CASE_FIXTURE(tracker_fixture, "request_long_quiet_is_forgotten") {
    crash("a:1");
    now += 31min;
    tracker.remove_expired(now);
    CHECK(tracker.empty());
}

TEST_CASE_FIXTURE(tracker_fixture, "crashes_counted_elsewhere_add_to_the_refusal") {
    crash("a:1");
    tracker.raise_count(poison, 3, now);
    CHECK(is_refused());
    tracker.raise_count(poison, 2, now);
    CHECK(tracker.crash_count(poison) == 3);
}

TEST_CASE("filter_forgets_a_request_that_was_answered_elsewhere") {
    cw_crash_filter filter{cw_crash_options{}};
    filter.set_reporter([](std::uint64_t, const std::string&, bool) {});
    const cw_time_point now{std::chrono::hours{1}};
    filter.set_shared_counts({{poison, 3}}, now);
    CHECK(filter.has_suspects());
    CHECK(filter.refused_until(poison) > now);
    filter.set_shared_counts({}, now);
    CHECK_FALSE(filter.has_suspects());
    CHECK(filter.refused_until(poison) <= now);
}

TEST_CASE("fingerprint_differs_with_method_target_and_body") {
    const auto base = cw_request_fingerprint("POST", "/gallery/k/x", "order");
    CHECK(base == cw_request_fingerprint("POST", "/gallery/k/x", "order"));
    CHECK(base != cw_request_fingerprint("PUT", "/gallery/k/x", "order"));
    CHECK(base != cw_request_fingerprint("POST", "/gallery/k/y", "order"));
    CHECK(base != cw_request_fingerprint("POST", "/gallery/k/x", "orders"));
}
