#include "cw_crash_guard.h"
#include "cw_crash_ledger.h"
#include "cw_key_hash.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t poison = 42;

/// A ledger with the usual options, and a clock.
struct ledger_fixture {
    void crash(const std::string& address) {
        ledger.on_crash(poison, address, now);
        now += 1s;
    }
    bool is_refused() const { return now < ledger.refused_until(poison); }
    bool is_keyed_refused() const { return now < ledger.keyed_refused_until(poison); }

    cw_time_point now{std::chrono::hours{1}};
    cw_crash_ledger ledger{cw_crash_options{}};
};

} // namespace

TEST_CASE_FIXTURE(ledger_fixture, "request_after_three_crashes_is_refused_for_a_minute") {
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

TEST_CASE_FIXTURE(ledger_fixture, "keyed_request_after_a_crash_lets_others_of_its_key_go_first") {
    ledger.on_crash(poison, "a:1", now);
    CHECK_FALSE(is_refused());
    now += 849ms;
    CHECK(is_keyed_refused());
    now += 1ms;
    CHECK_FALSE(is_keyed_refused());
}

TEST_CASE_FIXTURE(ledger_fixture, "keyed_request_after_three_crashes_is_refused_as_long_as_any") {
    for (const auto* address : {"a:1", "b:1", "c:1"}) {
        crash(address);
    }
    CHECK(ledger.keyed_refused_until(poison) == ledger.refused_until(poison));
    CHECK(is_keyed_refused());
}

TEST_CASE_FIXTURE(ledger_fixture, "keyed_request_answered_after_a_crash_pauses_no_longer") {
    ledger.on_crash(poison, "a:1", now);
    ledger.on_answer(poison);
    CHECK_FALSE(is_keyed_refused());
}

TEST_CASE_FIXTURE(ledger_fixture, "request_that_crashes_again_is_refused_for_longer") {
    for (const auto* address : {"a:1", "b:1", "c:1"}) {
        crash(address);
    }
    now += 60s;
    CHECK_FALSE(is_refused());
    crash("d:1");
    now += 110s;
    CHECK(is_refused());
}

TEST_CASE_FIXTURE(ledger_fixture, "crash_seen_by_two_routers_counts_once") {
    CHECK(ledger.on_crash(poison, "a:1", now));
    CHECK_FALSE(ledger.on_crash(poison, "a:1", now + 20ms));
    CHECK(ledger.crashes(poison) == 1);
}

TEST_CASE_FIXTURE(ledger_fixture, "request_answered_between_crashes_is_never_refused") {
    for (int i = 0; i < 10; ++i) {
        crash("a:1");
        crash("b:1");
        CHECK(ledger.on_answer(poison));
    }
    CHECK_FALSE(is_refused());
}

TEST_CASE_FIXTURE(ledger_fixture, "other_request_is_not_refused") {
    for (const auto* address : {"a:1", "b:1", "c:1"}) {
        crash(address);
    }
    CHECK(ledger.refused_until(poison + 1) < now);
}

TEST_CASE_FIXTURE(ledger_fixture, "request_long_quiet_is_forgotten") {
    crash("a:1");
    now += 31min;
    ledger.on_tick(now);
    CHECK(ledger.empty());
}

TEST_CASE_FIXTURE(ledger_fixture, "crashes_counted_elsewhere_add_to_the_refusal") {
    crash("a:1");
    ledger.raise(poison, 3, now);
    CHECK(is_refused());
    ledger.raise(poison, 2, now);
    CHECK(ledger.crashes(poison) == 3);
}

TEST_CASE("guard_told_that_a_request_was_answered_elsewhere_forgets_it") {
    cw_crash_guard guard{cw_crash_options{}};
    guard.set_reporter([](std::uint64_t, const std::string&, bool) {});
    const cw_time_point now{std::chrono::hours{1}};
    guard.set_shared({{poison, 3}}, now);
    CHECK(guard.has_marks());
    CHECK(guard.refused_until(poison) > now);
    guard.set_shared({}, now);
    CHECK_FALSE(guard.has_marks());
    CHECK(guard.refused_until(poison) <= now);
}

TEST_CASE("fingerprint_differs_with_method_target_and_body") {
    const auto base = cw_request_fingerprint("POST", "/gallery/k/x", "order");
    CHECK(base == cw_request_fingerprint("POST", "/gallery/k/x", "order"));
    CHECK(base != cw_request_fingerprint("PUT", "/gallery/k/x", "order"));
    CHECK(base != cw_request_fingerprint("POST", "/gallery/k/y", "order"));
    CHECK(base != cw_request_fingerprint("POST", "/gallery/k/x", "orders"));
}
