#include "cw_grant_world.h"

#include <doctest/doctest.h>
#include <set>
#include <string>

using namespace std::chrono_literals;

namespace {

/// Three hosts and six upstreams that hold all keys.
struct settled_world {
    cw_grant_world world{7};

    settled_world() {
        for (const char* host : {"a", "b", "c"}) {
            world.start_host(host);
        }
        for (const char* id : {"u1", "u2", "u3", "u4", "u5", "u6"}) {
            world.start_upstream(id);
        }
        world.run(4s);
        world.forget_absence();
    }

    void check_rules() const {
        for (const auto& violation : world.violations()) {
            FAIL_CHECK(violation);
        }
    }

    std::size_t keys_of(const std::string& id) const {
        std::size_t count = 0;
        for (std::size_t sample = 0; sample < cw_grant_world::samples; ++sample) {
            count += world.holder(sample) == id ? 1 : 0;
        }
        return count;
    }
};

} // namespace

TEST_CASE_FIXTURE(settled_world, "keys_of_a_new_service_are_spread_over_all_upstreams") {
    for (const auto& id : world.upstreams()) {
        CHECK(keys_of(id) >= 8);
    }
    CHECK(world.moved() == doctest::Approx(0.0));
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "keys_in_a_calm_minute_never_move_and_are_never_away") {
    const auto calls = world.store_calls();
    world.run(60s);
    CHECK(world.moved() == doctest::Approx(0.0));
    CHECK(world.longest_absence() <= 20ms);
    CHECK(world.store_calls() - calls < 200);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "keys_of_a_crashed_upstream_are_served_again_within_the_lease") {
    world.crash_upstream("u3");
    world.run(4s);
    CHECK(keys_of("u3") == 0);
    // The lease and half a second.
    CHECK(world.longest_absence() <= 1'500ms);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "keys_of_a_silent_upstream_wait_for_the_end_of_its_lease") {
    for (const auto& host : world.hosts()) {
        world.cut(host, "u3");
    }
    world.run(4s);
    CHECK(keys_of("u3") == 0);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "upstream_that_stays_unreachable_is_not_given_keys_again") {
    for (const auto& host : world.hosts()) {
        world.cut(host, "u3");
    }
    world.run(4s);
    world.forget_absence();
    world.run(10s);
    CHECK(keys_of("u3") == 0);
    CHECK(world.longest_absence() <= 20ms);
    world.heal();
    world.run(2s);
    CHECK(keys_of("u3") >= 4);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "steward_that_the_store_turns_away_is_succeeded_without_a_gap") {
    const auto first = world.steward();
    world.cut(first, "store");
    world.run(5s);
    CHECK(world.steward() != first);
    CHECK(world.longest_absence() <= 20ms);
    world.crash_upstream("u3");
    world.run(4s);
    CHECK(keys_of("u3") == 0);
    CHECK(world.longest_absence() <= 1'500ms);
    world.forget_absence();
    world.heal();
    world.run(20s);
    CHECK(world.longest_absence() <= 20ms);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "steward_in_an_outage_for_all_stays_the_steward") {
    const auto first = world.steward();
    world.set_store_down(true);
    world.run(7s);
    world.set_store_down(false);
    world.run(2s);
    CHECK(world.steward() == first);
    CHECK(world.longest_absence() <= 20ms);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "keys_of_a_draining_upstream_move_at_once_and_are_hardly_away") {
    world.drain_upstream("u2");
    world.run(500ms);
    CHECK(keys_of("u2") == 0);
    CHECK(world.longest_absence() <= 100ms);
    CHECK(world.moved() < 0.2);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "upstream_reborn_under_its_id_holds_nothing_until_it_is_granted") {
    world.crash_upstream("u3");
    world.run(300ms);
    world.start_upstream("u3");
    world.run(5s);
    CHECK(keys_of("u3") >= 4);
    CHECK(world.longest_absence() <= 1'500ms);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world,
                  "upstream_reborn_and_renewed_before_its_entry_tells_is_the_only_holder") {
    world.crash_upstream("u3");
    world.start_upstream("u3", 700ms, 3s);
    world.run(5s);
    CHECK(world.longest_absence() <= 1'500ms);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "keys_move_only_when_work_has_ended_that_the_release_found") {
    world.begin_work("u2", 700ms);
    world.drain_upstream("u2");
    world.run(3s);
    CHECK(keys_of("u2") == 0);
    CHECK(world.longest_absence() <= 800ms);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "successor_awaits_work_that_its_predecessors_release_found") {
    world.begin_work("u2", 900ms);
    world.drain_upstream("u2");
    world.run(200ms);
    world.stop_host(world.steward());
    world.run(4s);
    CHECK(keys_of("u2") == 0);
    CHECK(world.longest_absence() <= 1'700ms);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "upstream_that_joins_is_given_keys_within_two_seconds") {
    world.start_upstream("u7");
    world.run(2s);
    CHECK(keys_of("u7") >= 3);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "steward_killed_is_replaced_before_any_lease_ends") {
    const auto first = world.steward();
    world.kill_host(first);
    world.run(3s);
    CHECK(world.steward() != first);
    CHECK_FALSE(world.steward().empty());
    CHECK(world.longest_absence() <= 20ms);
    CHECK(world.moved() == doctest::Approx(0.0));
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "steward_that_stops_in_order_is_replaced_without_absence") {
    const auto first = world.steward();
    world.stop_host(first);
    world.run(4s);
    CHECK(world.steward() != first);
    CHECK(world.longest_absence() <= 20ms);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "steward_that_stops_while_the_store_is_down_grants_to_its_end") {
    world.set_store_down(true);
    world.run(500ms);
    world.stop_host(world.steward());
    world.run(2'400ms);
    CHECK(world.longest_absence() <= 20ms);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "steward_gone_without_a_word_is_replaced_within_two_seconds") {
    const auto first = world.steward();
    world.drain_upstream("u1");
    world.run(2s);
    world.freeze_host(first, 60s);
    world.run(2s);
    CHECK(world.steward() != first);
    CHECK(world.steward() != "");
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "steward_frozen_and_thawed_never_gives_keys_twice") {
    const auto first = world.steward();
    world.freeze_host(first, 4s);
    world.run(2'500ms);
    CHECK(world.steward() != "");
    world.crash_upstream("u1");
    world.run(20s);
    CHECK(keys_of("u1") == 0);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "store_down_for_eight_seconds_takes_no_key_away") {
    world.set_store_down(true);
    world.run(8s);
    CHECK(world.longest_absence() <= 20ms);
    world.set_store_down(false);
    world.run(3s);
    CHECK(world.moved() == doctest::Approx(0.0));
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "steward_without_the_store_stops_granting_after_its_tenure") {
    const auto first = world.steward();
    world.cut(first, "store");
    for (const auto& host : world.hosts()) {
        if (host != first) {
            world.cut(first, host);
        }
    }
    world.run(16s);
    CHECK(world.steward() != first);
    CHECK_FALSE(world.steward().empty());
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "steward_and_upstream_lost_together_leave_no_two_owners") {
    const auto first = world.steward();
    // The upstream is reached by the old steward only.
    for (const auto& host : world.hosts()) {
        if (host != first) {
            world.cut(host, "u4");
            world.cut(host, first);
        }
    }
    world.cut(first, "store");
    world.run(25s);
    CHECK(keys_of("u4") == 0);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "all_hosts_killed_at_once_come_back_and_move_nothing") {
    for (const auto& host : world.hosts()) {
        world.kill_host(host);
    }
    world.run(1s);
    for (const char* host : {"a", "b", "c"}) {
        world.start_host(host);
    }
    world.run(3s);
    CHECK(world.longest_absence() <= 1'000ms);
    CHECK(world.moved() == doctest::Approx(0.0));
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "orders_carried_out_late_never_give_a_key_two_owners") {
    world.set_late_orders(0.4);
    world.run(6s);
    world.drain_upstream("u5");
    world.run(20s);
    world.set_late_orders(0.0);
    world.run(14s);
    CHECK(keys_of("u5") == 0);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "writes_whose_answers_are_lost_are_found_by_reading") {
    world.set_lost_replies(0.5);
    world.drain_upstream("u5");
    world.run(8s);
    CHECK(keys_of("u5") == 0);
    world.crash_upstream("u6");
    world.run(12s);
    CHECK(keys_of("u6") == 0);
    check_rules();
}

TEST_CASE_FIXTURE(settled_world, "busy_keys_side_by_side_are_spread_over_several_upstreams") {
    for (std::size_t sample = 20; sample < 26; ++sample) {
        world.set_load(sample, 60.0);
    }
    world.run(8s);
    std::set<std::string> holders;
    for (std::size_t sample = 20; sample < 26; ++sample) {
        holders.insert(world.holder(sample));
    }
    CHECK(holders.size() >= 4);
    CHECK(world.moved() < 0.6);
    check_rules();
}
