#include "cw_gateway_fixture.h"
#include "cw_raw_caller.h"

#include <doctest/doctest.h>
#include <string>
#include <thread>

using namespace std::chrono_literals;

namespace {

const std::string attempt_headers =
    "X-Cuminwinch-Attempt-Id: r1\r\nX-Cuminwinch-Request-Timeout-Ms: 2000\r\n";
constexpr double cold_rate = 4.5;
constexpr auto sending_time = 2s;
/// One host may use the whole target rate of 3.51 requests a second, and the token at the start.
constexpr std::size_t max_requests = 9;
constexpr std::size_t min_requests = 3;

cw_raw_upstream::script respond(std::chrono::milliseconds delay = 0ms) {
    return [delay](const std::string& request) {
        return cw_raw_upstream::reply{
            .bytes = cw_upstream_answer(request, "200 OK", "X-Cuminwinch-Response-Signature: s\r\n",
                                        "fine"),
            .delay = delay};
    };
}

struct sent_requests {
    std::size_t total = 0;
    std::size_t refused = 0;
    std::string last_refusal;
    std::chrono::steady_clock::duration longest{};
};

/// Sends requests to the path at up to 50 a second.
sent_requests send_requests(cw_gateway_fixture& gateway, const std::string& path,
                            const std::string& fields = {}) {
    sent_requests sent;
    const auto until = std::chrono::steady_clock::now() + sending_time;
    while (std::chrono::steady_clock::now() < until) {
        const auto before = std::chrono::steady_clock::now();
        const auto answer = gateway.send("GET", path, attempt_headers + fields);
        sent.longest = std::max(sent.longest, std::chrono::steady_clock::now() - before);
        ++sent.total;
        if (cw_status_of(answer) != 200) {
            ++sent.refused;
            sent.last_refusal = answer;
        }
        std::this_thread::sleep_for(20ms);
    }
    return sent;
}

bool has_metric(cw_gateway_fixture& gateway, const std::string& line) {
    return gateway.metrics().exposition().find("cuminwinch_" + line + "\n") != std::string::npos;
}

} // namespace

// Cold upstreams crash when they get the requests of warm ones.
TEST_CASE("cold_upstream_gets_no_more_than_allowed_and_the_warm_one_the_rest") {
    // The cold upstream answers sooner, so it would get nearly all requests without a limit.
    cw_gateway_fixture gateway{{respond(), respond(150ms)}};
    while (gateway.upstream(0).requests() == 0) {
        static_cast<void>(gateway.send("GET", "/order/a", attempt_headers));
    }
    const auto before = gateway.upstream(0).requests();
    gateway.set_cold_rate(cold_rate);
    gateway.set_cold(0, 30s);
    const auto sent = send_requests(gateway, "/safe/a");
    CHECK(sent.refused == 0);
    CHECK(sent.total > max_requests);
    CHECK(gateway.upstream(0).requests() >= before + min_requests);
    CHECK(gateway.upstream(0).requests() <= before + max_requests);
    CHECK(has_metric(gateway, "cold_upstreams 3"));
}

TEST_CASE("service_whose_upstreams_are_all_cold_refuses_at_once_what_they_do_not_take") {
    cw_gateway_fixture gateway{{respond()}};
    gateway.set_cold_rate(cold_rate);
    gateway.set_cold(0, 30s);
    const auto sent = send_requests(gateway, "/safe/a");
    CHECK(gateway.upstream(0).requests() <= max_requests);
    CHECK(gateway.upstream(0).requests() >= min_requests);
    CHECK(sent.refused == sent.total - gateway.upstream(0).requests());
    CHECK(sent.longest < 200ms);
    CHECK(cw_status_of(sent.last_refusal) == 503);
    CHECK(sent.last_refusal.find("cold") != std::string::npos);
    CHECK(has_metric(gateway, "cold_refused_requests_total " + std::to_string(sent.refused)));
    CHECK(has_metric(gateway, "cold_admitted_requests_total " +
                                  std::to_string(gateway.upstream(0).requests())));
}

TEST_CASE("requests_for_the_keys_of_a_cold_owner_wait_for_their_turn") {
    cw_gateway_fixture gateway{{respond()}};
    gateway.set_cold_rate(cold_rate);
    gateway.set_cold(0, 30s);
    // Each waits for up to a third of 1,980 ms; a token comes every 285 ms.
    const auto sent = send_requests(gateway, "/key/a", "X-Cuminwinch-Shard-Key: 7\r\n");
    CHECK(sent.longest > 150ms);
    CHECK(sent.longest < 550ms);
    CHECK(gateway.upstream(0).requests() <= max_requests);
    CHECK(gateway.upstream(0).requests() >= min_requests);
    CHECK(sent.refused <= 2);
}

TEST_CASE("upstream_whose_warm_up_has_ended_has_no_limit") {
    cw_gateway_fixture gateway{{respond()}};
    gateway.set_cold_rate(cold_rate);
    gateway.set_cold(0, 300ms);
    std::this_thread::sleep_for(400ms);
    const auto sent = send_requests(gateway, "/safe/a");
    CHECK(sent.refused == 0);
    CHECK(has_metric(gateway, "cold_upstreams 0"));
}

// Hosts whose number is unknown would each take the rate of all.
TEST_CASE("host_that_has_not_heard_of_the_number_of_hosts_sends_nothing_to_a_cold_upstream") {
    cw_gateway_fixture gateway{{respond()}};
    gateway.set_host_count(0);
    gateway.set_cold_rate(cold_rate);
    gateway.set_cold(0, 30s);
    const auto sent = send_requests(gateway, "/safe/a");
    CHECK(gateway.upstream(0).requests() == 0);
    CHECK(sent.refused == sent.total);
}

// A process that restarts refuses connects first, and its entry is known later.
TEST_CASE("upstream_that_refuses_a_connect_is_treated_as_cold_where_that_is_limited") {
    for (const double rate : {0.0, cold_rate}) {
        cw_gateway_fixture gateway{{respond()}};
        gateway.set_cold_rate(rate);
        gateway.make_unreachable(0);
        const auto refused = gateway.send("GET", "/safe/a", attempt_headers);
        CHECK(cw_status_of(refused) == 503);
        CHECK(has_metric(gateway, "cold_upstreams 1") == (rate > 0.0));
    }
}
