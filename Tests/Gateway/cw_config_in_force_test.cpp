#include "cw_config_in_force.h"
#include "cw_feed_fixture.h"
#include "cw_gateway_fixture.h"
#include "cw_gateway_metrics.h"
#include "cw_gateway_traffic.h"
#include "cw_raw_caller.h"
#include "cw_replication_lag.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>

using namespace std::chrono_literals;

namespace {

cw_raw_upstream::script respond_ok() {
    return [](const std::string& request) {
        return cw_raw_upstream::reply{cw_upstream_answer(
            request, "200 OK", "X-Cuminwinch-Response-Signature: s\r\n", "fine")};
    };
}

/// Status of the answer to a request on a known route.
int status_of_request(cw_gateway_fixture& gateway) {
    return cw_status_of(
        gateway.send("GET", "/safe/a",
                     "X-Cuminwinch-Attempt-Id: r1\r\nX-Cuminwinch-Request-Timeout-Ms: 900\r\n"));
}

/// A host whose feed goes on, and whose control state puts nothing in force by itself.
struct host_with_late_control : cw_feed_fixture {
    host_with_late_control() {
        follower.feed.set_known_config_reporter([this](const cw_known_config& known) {
            traffic.set_known_config(known);
            is_told_before_delivery = is_told_before_delivery || (known.received_version == 2 &&
                                                                  follower.versions.count(2) == 0);
        });
        put_config(1);
        start();
        put_in_force(1);
    }

    /// Hands a view with the version to the traffic.
    void put_in_force(std::uint64_t version) {
        auto view = std::make_shared<cw_gateway_view>();
        view->config = std::make_shared<const cw_site_config>(
            cw_site_config::make(version, {}, {}, {}).value());
        traffic.publish(std::move(view));
        traffic.context().restart();
        traffic.context().poll();
    }

    /// Runs until the follower has received the version, for up to two seconds.
    void wait_until_received(std::uint64_t version) {
        for (int tries = 0; tries < 200 && !follower.versions.contains(version); ++tries) {
            run_for(10ms);
        }
        REQUIRE(follower.versions.contains(version));
    }

    [[nodiscard]] bool is_outdated() const {
        return traffic.is_config_outdated(cw_boot_clock::now());
    }
    [[nodiscard]] bool is_overdue() const {
        return traffic.is_config_overdue(cw_boot_clock::now());
    }

    /// True once version 2 was reported as received before the control state got it.
    bool is_told_before_delivery = false;
    cw_gateway_options options;
    cw_gateway_metrics metrics;
    cw_gateway_traffic traffic{options, metrics};
};

} // namespace

// Guards against a lag that ends when a version is received, however long it is not in force.
TEST_CASE("request_on_a_known_route_is_refused_while_a_received_configuration_is_overdue") {
    cw_gateway_fixture gateway{{respond_ok()}};
    gateway.set_received_config(1, 1'500ms);
    gateway.set_received_config(2, 0ms);
    CHECK(status_of_request(gateway) == 200);
    gateway.set_received_config(1, 2'100ms);
    gateway.set_received_config(2, 0ms);
    CHECK(status_of_request(gateway) == 503);
    gateway.set_config(2);
    CHECK(status_of_request(gateway) == 200);
}

// Guards against a host that takes its own lateness for that of its sources.
TEST_CASE(
    "request_is_refused_while_a_received_configuration_is_overdue_on_a_host_that_is_cut_off") {
    cw_gateway_fixture gateway{{respond_ok()}};
    gateway.set_received_config(1, 5'000ms, false);
    CHECK(status_of_request(gateway) == 200);
    gateway.set_received_config(2, 5'000ms, false);
    CHECK(status_of_request(gateway) == 503);
    gateway.set_config(2);
    CHECK(status_of_request(gateway) == 200);
}

// Guards against a 404 for a route of a version that the control state has not put in force yet.
TEST_CASE_FIXTURE(host_with_late_control,
                  "config_that_is_received_and_not_in_force_is_known_to_traffic_at_once") {
    CHECK_FALSE(is_outdated());
    put_config(2);
    wait_until_received(2);
    CHECK(is_told_before_delivery);
    CHECK(is_outdated());
    CHECK_FALSE(is_overdue());
    put_in_force(2);
    CHECK_FALSE(is_outdated());
}

TEST_CASE_FIXTURE(host_with_late_control,
                  "config_that_is_received_and_not_in_force_within_its_bound_is_overdue") {
    put_config(2);
    wait_until_received(2);
    run_for(options.config_bound);
    CHECK(is_overdue());
    put_in_force(2);
    CHECK_FALSE(is_overdue());
}

TEST_CASE_FIXTURE(host_with_late_control,
                  "config_that_is_in_force_is_not_overdue_on_a_host_that_is_cut_off") {
    store_link.set_partitioned(true);
    reader_link.set_partitioned(true);
    put_config(2);
    run_for(options.config_bound + 1'000ms);
    CHECK_FALSE(is_overdue());
    CHECK(is_outdated());
}

// Guards against a lag that grows while versions follow each other faster than they are in force.
TEST_CASE("config_in_force_of_a_fast_series_lags_by_its_own_way_only") {
    constexpr auto interval = 200ms;
    constexpr std::uint64_t versions_on_the_way = 3;
    cw_config_in_force config;
    cw_boot_time now{1h};
    for (std::uint64_t version = 1; version <= 100; ++version) {
        config.on_known({version, now, true, version}, now);
        if (version > versions_on_the_way) {
            config.on_in_force(version - versions_on_the_way, now);
            CHECK_FALSE(config.is_overdue(2s, now));
            CHECK(config.take_peak_lag(now) <= (versions_on_the_way + 1) * interval);
            CHECK(config.time_since_received(now) == versions_on_the_way * interval);
        }
        now += interval;
    }
}

TEST_CASE("config_in_force_lags_from_the_last_moment_as_of_which_it_was_the_latest") {
    cw_config_in_force config;
    const cw_boot_time start{1h};
    CHECK(config.take_peak_lag(start) == cw_replication_lag::unknown);
    config.on_known({1, start, true, 1}, start + 100ms);
    config.on_in_force(1, start + 150ms);
    CHECK(config.version() == 1);
    CHECK(config.time_since_received(start + 150ms) == 50ms);
    config.on_known({2, start + 1s, true, 2}, start + 1s);
    CHECK_FALSE(config.is_overdue(2s, start + 2s));
    CHECK(config.is_overdue(2s, start + 2'001ms));
    config.on_known({2, start + 2s, true, 2}, start + 2'100ms);
    CHECK(config.is_overdue(2s, start + 2'100ms));
    config.on_in_force(2, start + 2'500ms);
    CHECK_FALSE(config.is_overdue(2s, start + 2'500ms));
    CHECK(config.take_peak_lag(start + 2'500ms) == 2'500ms);
    CHECK(config.take_peak_lag(start + 2'500ms) == 500ms);
}

// Guards against a host whose feed stands still and that serves on as if it were cut off.
TEST_CASE("config_in_force_is_overdue_while_the_feed_tells_nothing") {
    cw_config_in_force config;
    const cw_boot_time start{1h};
    CHECK_FALSE(config.is_overdue(2s, start));
    config.on_known({1, start, false, 1}, start);
    config.on_in_force(1, start);
    CHECK_FALSE(config.is_overdue(2s, start + 2s));
    CHECK(config.is_overdue(2s, start + 2'001ms));
    config.on_known({1, start, false, 1}, start + 3s);
    CHECK_FALSE(config.is_overdue(2s, start + 3s));
}
