#include "cw_gateway_fixture.h"
#include "cw_raw_caller.h"

#include <atomic>
#include <doctest/doctest.h>
#include <string>

using namespace std::chrono_literals;

namespace {

/// A host with one upstream, which answers after `work`.
struct stopping_host {
    std::chrono::milliseconds work{0};
    std::atomic<int> arrived{0};
    cw_gateway_fixture gateway{{[this](const std::string& request) {
        ++arrived;
        return cw_raw_upstream::reply{
            cw_upstream_answer(request, "200 OK", "X-Cuminwinch-Response-Signature: s\r\n", "fine"),
            false, work};
    }}};

    /// Sends a request whose caller waits for the given time; returns the answer's status.
    int status_of(const std::string& path, std::chrono::milliseconds limit) {
        answer = gateway.send("POST", path,
                              "X-Cuminwinch-Attempt-Id: r1\r\nX-Cuminwinch-Request-Timeout-Ms: " +
                                  std::to_string(limit.count()) + "\r\n",
                              "x");
        return cw_status_of(answer);
    }

    std::string answer;
};

} // namespace

// Guards against requests that are passed on late in the grace period and cut at its end.
TEST_CASE_FIXTURE(stopping_host, "request_that_may_outlast_the_stop_is_refused_and_not_passed_on") {
    work = 1s;
    gateway.stop_after(300ms);
    CHECK(status_of("/order/a", 900ms) == 503);
    CHECK(std::stod(cw_header_value(answer, "Retry-After")) > 0.0);
    CHECK(cw_header_value(answer, "Connection") == "close");
    CHECK(arrived == 0);
}

TEST_CASE_FIXTURE(stopping_host, "request_that_ends_before_the_stop_is_served_while_stopping") {
    gateway.stop_after(5s);
    CHECK(status_of("/order/a", 900ms) == 200);
    CHECK(cw_header_value(answer, "Connection") == "close");
    CHECK(arrived == 1);
}

TEST_CASE_FIXTURE(stopping_host, "request_repeatable_that_should_end_before_the_stop_is_served") {
    gateway.stop_after(1s);
    CHECK(status_of("/long/a", 3s) == 200);
    CHECK(arrived == 1);
}

TEST_CASE_FIXTURE(stopping_host, "request_repeatable_that_may_not_end_before_the_stop_is_refused") {
    gateway.stop_after(300ms);
    CHECK(status_of("/long/a", 3s) == 503);
    CHECK(arrived == 0);
}

// Guards against connections that end without an answer at the end of the grace period.
TEST_CASE_FIXTURE(stopping_host, "request_that_still_runs_at_the_stop_is_answered_before_it") {
    work = 3s;
    gateway.stop_after(1s);
    const auto begin = std::chrono::steady_clock::now();
    CHECK(status_of("/long/a", 3s) == 504);
    CHECK(std::chrono::steady_clock::now() - begin < 1'400ms);
}
