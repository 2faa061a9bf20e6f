#include "cw_feed_fixture.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

/// Time within which an undisturbed host knows of a change: a few messages on one machine.
constexpr auto usual_time = 700ms;
/// Time after the store's acknowledgement within which an evacuation must be known, so that the
/// keys have a third of the bound of 5 s to move.
constexpr auto longest_way = 3'300ms;

/// A reader and a follower of a deployment with evacuations, and one upstream in the domain "z".
struct evacuating_deployment : cw_feed_fixture {
    evacuating_deployment() {
        set_evacuation_bound(5s);
        put_config(1);
        put_upstream("a", "ready");
    }

    bool are_both_evacuated() const {
        return reader.is_evacuated("z") && follower.is_evacuated("z");
    }
    bool is_none_evacuated() const {
        return !reader.is_evacuated("z") && !follower.is_evacuated("z");
    }
    bool do_both_use_upstreams() const { return reader.uses("a") && follower.uses("a"); }
};

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_CASE_FIXTURE(evacuating_deployment,
                  "evacuation_passes_from_the_store_to_reader_and_follower") {
    start();
    REQUIRE(do_both_use_upstreams());
    put_evacuation("z");
    run_for(usual_time);
    CHECK(are_both_evacuated());
    CHECK_FALSE(reader.uses("a"));
    CHECK_FALSE(follower.uses("a"));
    store.remove("evacuations", "z");
    run_for(usual_time);
    CHECK(is_none_evacuated());
    CHECK(do_both_use_upstreams());
    CHECK(follower.view->evacuations.has_just_returned("z", cw_boot_clock::now()));
}

// Guards against calls to the store that grow with the number of hosts.
TEST_CASE_FIXTURE(evacuating_deployment, "evacuations_are_read_by_the_reader_only") {
    start();
    // At its start the follower may read the store until its reader does.
    run_for(2s);
    const auto before = store.calls_of("evacuations");
    run_for(3s);
    CHECK(store.calls_of("evacuations") > before);
    CHECK(store.calls_of("evacuations") <= before + 3);
}

// Guards against calls and members in deployments that know no evacuations.
TEST_CASE_FIXTURE(cw_feed_fixture, "deployment_without_evacuations_makes_no_call_for_them") {
    put_config(1);
    put_upstream("a", "ready");
    put_evacuation("z");
    start();
    run_for(2s);
    CHECK(store.calls_of("evacuations") == 0);
    CHECK(reader.uses("a"));
    CHECK(follower.uses("a"));
    std::string answer;
    boost::asio::co_spawn(context, reader.feed.serve("/v1/feed?part=entries&evacuations=0"),
                          [&](const std::exception_ptr&, const cw_http_response& response) {
                              answer = response.body();
                          });
    run_for(300ms);
    CHECK(answer.find("reads_store") != std::string::npos);
    CHECK(answer.find("evacuated") == std::string::npos);
}

// Guards against a host that uses the upstreams of an evacuated domain until its first answer to
// the call for evacuations.
TEST_CASE_FIXTURE(evacuating_deployment,
                  "host_that_starts_uses_no_upstream_of_an_evacuated_domain") {
    put_evacuation("z");
    store.set_delay_of("evacuations", 300ms);
    start();
    run_for(1s);
    CHECK(reader.entries.contains("a"));
    CHECK(follower.entries.contains("a"));
    CHECK(are_both_evacuated());
    CHECK(reader.ever_listed.empty());
    CHECK(follower.ever_listed.empty());
}

// Guards against a store without that kind, which must not keep hosts from serving.
TEST_CASE_FIXTURE(evacuating_deployment,
                  "host_that_gets_no_answer_about_evacuations_starts_later") {
    store.set_delay_of("evacuations", 30s);
    start();
    CHECK_FALSE(reader.uses("a"));
    run_for(4s);
    CHECK(do_both_use_upstreams());
}

TEST_CASE_FIXTURE(evacuating_deployment, "known_evacuation_applies_while_the_store_is_away") {
    start();
    put_evacuation("z");
    run_for(usual_time);
    REQUIRE(are_both_evacuated());
    store.set_down(true);
    run_for(4s);
    CHECK(are_both_evacuated());
    store.set_down(false);
    store.remove("evacuations", "z");
    run_for(4s);
    CHECK(is_none_evacuated());
}

TEST_CASE_FIXTURE(evacuating_deployment, "evacuation_after_the_history_was_lost_is_received") {
    start();
    store.forget_history();
    put_evacuation("z");
    run_for(usual_time);
    CHECK(are_both_evacuated());
    store.remove("evacuations", "z");
    store.forget_history();
    run_for(usual_time);
    CHECK(is_none_evacuated());
}

// Guards against requests to an evacuated domain while operators write its evacuation again.
TEST_CASE_FIXTURE(evacuating_deployment, "evacuation_lost_by_a_restore_is_kept_for_a_time") {
    auto copy = store.take_copy();
    start();
    raise_revision(20);
    put_evacuation("z");
    run_for(usual_time);
    REQUIRE(are_both_evacuated());
    store.come_back_from(std::move(copy));
    for (int i = 0; i < 60 && follower.feed.state().position.era != 2; ++i) {
        run_for(50ms);
    }
    REQUIRE(follower.feed.state().position.era == 2);
    run_for(2s);
    CHECK(are_both_evacuated());
    run_for(1'500ms);
    CHECK(is_none_evacuated());
}

// Guards against a watch from a revision that the restored store gives out again, and against one
// that was pending at the restore and is never answered.
TEST_CASE_FIXTURE(evacuating_deployment,
                  "evacuation_below_a_known_revision_after_a_restore_is_received") {
    auto copy = store.take_copy();
    start();
    raise_revision(50);
    run_for(2s);
    store.come_back_from(std::move(copy));
    put_evacuation("z");
    run_for(longest_way);
    CHECK(are_both_evacuated());
}

// Guards against a follower that misses what is written while its reader is lost.
TEST_CASE_FIXTURE(evacuating_deployment, "follower_that_loses_its_reader_learns_of_evacuations") {
    start();
    put_evacuation("z");
    run_for(usual_time);
    REQUIRE(are_both_evacuated());
    reader_link.set_partitioned(true);
    store.remove("evacuations", "z");
    run_for(longest_way);
    CHECK_FALSE(follower.is_evacuated("z"));
    put_evacuation("z");
    run_for(longest_way);
    CHECK(follower.is_evacuated("z"));
}

// Guards against a watch on a connection that was cut without notice.
TEST_CASE_FIXTURE(evacuating_deployment,
                  "evacuation_during_a_silent_connection_is_received_in_time") {
    start();
    store_link.silence_open_connections();
    put_evacuation("z");
    run_for(longest_way);
    CHECK(are_both_evacuated());
}

// Guards against an object of another writer that hides an evacuation or ends the feed's work.
TEST_CASE_FIXTURE(evacuating_deployment, "evacuation_object_of_any_body_evacuates_its_domain") {
    const std::vector<std::string> others{
        "{\"reason\":[1,{}],\"unknown\":7}", "\"text\"", "7", "[null]", "1e999", "\"a\xff\xfe\""};
    for (std::size_t index = 0; index < others.size(); ++index) {
        store.put_raw("evacuations", "other" + std::to_string(index), others[index]);
    }
    store.put_raw("evacuations", "z", nested(400));
    store.put("evacuations", "no such domain", {{"metadata", 7}});
    start();
    CHECK(are_both_evacuated());
    CHECK(reader.view->evacuations.evacuated.size() == 1);
    store.remove("evacuations", "z");
    run_for(usual_time);
    CHECK(is_none_evacuated());
    const std::vector<std::string> bodies{nested(100), nested(400'000), "\"a\xff\xfe\"",
                                          "{\"domain\":\"other\"}"};
    for (const auto& body : bodies) {
        CAPTURE(body.substr(0, 100));
        store.put_raw("evacuations", "z", body);
        put_upstream("b", "ready");
        run_for(usual_time);
        CHECK(are_both_evacuated());
        CHECK(reader.entries.contains("b"));
        store.remove("evacuations", "z");
        store.remove("servers", "b");
        run_for(usual_time);
        CHECK(is_none_evacuated());
    }
}
