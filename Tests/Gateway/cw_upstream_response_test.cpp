#include "cw_gateway_fixture.h"
#include "cw_log_capture.h"
#include "cw_raw_caller.h"
#include "cw_response_status.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

const std::string attempt_headers =
    "X-Cuminwinch-Attempt-Id: r1\r\nX-Cuminwinch-Request-Timeout-Ms: 1500\r\n";
const std::string signature = "X-Cuminwinch-Response-Signature: s\r\n";

/// Responds with the status and a complete body, and keeps the connection open.
cw_raw_upstream::script respond_with(const std::string& status, const std::string& fields = {}) {
    return [=](const std::string& request) {
        return cw_raw_upstream::reply{
            cw_upstream_answer(request, status, signature + fields, "fine")};
    };
}

/// Responds with the interim responses and then with 200. The connection stays open.
cw_raw_upstream::script respond_after(const std::string& interim) {
    return [=](const std::string& request) {
        return cw_raw_upstream::reply{interim +
                                      cw_upstream_answer(request, "200 OK", signature, "fine")};
    };
}

std::string interim(const std::string& status) {
    return "HTTP/1.1 " + status + " Interim\r\n\r\n";
}

/// Responds to the first request of all as `first` does, and to the others with 200.
cw_raw_upstream::script first_then_ok(std::atomic<int>& count,
                                      const cw_raw_upstream::script& first) {
    return [&count, first](const std::string& request) {
        return count++ == 0 ? first(request) : respond_with("200 OK")(request);
    };
}

std::size_t connections(cw_gateway_fixture& gateway) {
    const std::string name = "upstream_connections_total ";
    const auto text = gateway.metrics().exposition();
    const auto at = text.find(name);
    return at == std::string::npos ? 0 : std::stoul(text.substr(at + name.size()));
}

struct outcome {
    std::string answer;
    std::chrono::steady_clock::duration time;
    std::string log;
};

outcome send(cw_gateway_fixture& gateway, const std::string& method, const std::string& path) {
    cw_log_capture capture;
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = gateway.send(method, path, attempt_headers, method == "POST" ? "x" : "");
    const auto time = std::chrono::steady_clock::now() - begin;
    return {answer, time, capture.text()};
}

const std::vector<std::string> invalid_statuses{"000", "099", "99",  "101", "600",
                                                "999", "-10", "abc", "2000"};

} // namespace

TEST_CASE("status_class_is_final_from_200_to_599_and_interim_from_100_but_for_101") {
    for (unsigned status = 0; status < 1'000; ++status) {
        const auto expected = status >= 200 && status <= 599 ? cw_status_class::final
                              : status >= 100 && status <= 199 && status != 101
                                  ? cw_status_class::interim
                                  : cw_status_class::invalid;
        CHECK_MESSAGE(cw_class_of_status(status) == expected, status);
    }
}

// Guards against a caller that gets the status of an upstream in trouble, such as 000, and against
// a second run of a request that is not idempotent.
TEST_CASE("response_with_an_invalid_status_is_answered_502_where_the_request_is_not_idempotent") {
    for (const auto& status : invalid_statuses) {
        CAPTURE(status);
        cw_gateway_fixture gateway{{respond_with(status + " Odd"), respond_with(status + " Odd")}};
        const auto result = send(gateway, "POST", "/order/a");
        CHECK(cw_status_of(result.answer) == 502);
        CHECK(cw_header_value(result.answer, "X-Cuminwinch-Attempt-Id") == "r1");
        CHECK(result.answer.find("fine") == std::string::npos);
        CHECK(gateway.upstream(0).requests() + gateway.upstream(1).requests() == 1);
        CHECK(result.log.find("invalid status " + status + "\"") != std::string::npos);
        CHECK(cw_status_of(gateway.send("POST", "/order/b", attempt_headers, "x")) == 502);
    }
}

// Guards against a failed request that another upstream would have answered.
TEST_CASE("response_with_an_invalid_status_is_replaced_by_that_of_another_upstream") {
    for (const auto& status : invalid_statuses) {
        CAPTURE(status);
        std::atomic<int> count{0};
        const auto script = first_then_ok(count, respond_with(status + " Odd"));
        cw_gateway_fixture gateway{{script, script}};
        const auto result = send(gateway, "GET", "/safe/a");
        CHECK(cw_status_of(result.answer) == 200);
        CHECK(gateway.upstream(0).requests() == 1);
        CHECK(gateway.upstream(1).requests() == 1);
        CHECK(cw_count_of(result.log, "invalid status " + status + "\"") == 1);
    }
}

// Guards against a key whose requests fail because its owner had trouble with one of them.
TEST_CASE("response_with_an_invalid_status_of_an_owner_is_replaced_by_its_next_one") {
    std::atomic<int> count{0};
    cw_gateway_fixture gateway{{first_then_ok(count, respond_with("000 "))}};
    const auto answer =
        gateway.send("GET", "/key/a", attempt_headers + "X-Cuminwinch-Shard-Key: 7\r\n");
    CHECK(cw_status_of(answer) == 200);
    CHECK(count == 2);
}

// Guards against a request that is sent again and again while all upstreams are in trouble.
TEST_CASE("response_with_an_invalid_status_of_all_upstreams_is_answered_502_after_one_more_send") {
    cw_gateway_fixture gateway{
        {respond_with("000 "), respond_with("000 "), respond_with("000 "), respond_with("000 ")}};
    const auto result = send(gateway, "GET", "/safe/a");
    CHECK(cw_status_of(result.answer) == 502);
    std::size_t sent = 0;
    for (std::size_t index = 0; index < 4; ++index) {
        sent += gateway.upstream(index).requests();
    }
    CHECK(sent == 2);
    CHECK(cw_count_of(result.log, "Tries again.") == 1);
    CHECK(cw_count_of(result.log, "invalid status 000") == 2);
}

// Guards against bytes of an upstream in trouble that are read as the answer to the next request.
TEST_CASE("response_with_an_invalid_status_ends_its_connection") {
    cw_gateway_fixture gateway{{respond_with("000 ")}};
    for (std::size_t count = 1; count <= 3; ++count) {
        CHECK(cw_status_of(gateway.send("POST", "/order/a", attempt_headers, "x")) == 502);
        CHECK(connections(gateway) == count);
    }
}

// Guards against a wait until the deadline for a body that never ends.
TEST_CASE("response_with_an_invalid_status_and_no_length_is_given_up_at_its_header") {
    cw_gateway_fixture gateway{
        {[](const std::string&) { return cw_raw_upstream::reply{"HTTP/1.1 000 \r\n\r\nno end"}; }}};
    const auto result = send(gateway, "POST", "/order/a");
    CHECK(cw_status_of(result.answer) == 502);
    CHECK(result.time < 1s);
}

// Guards against an answer that states that the request did not run, though its status is none.
TEST_CASE("response_with_an_invalid_status_does_not_state_that_the_request_did_not_run") {
    cw_gateway_fixture gateway{{respond_with("000 ", "X-Cuminwinch-Not-Executed: 1\r\n")}};
    CHECK(cw_status_of(gateway.send("POST", "/order/a", attempt_headers, "x")) == 502);
}

TEST_CASE("response_with_an_unprintable_status_leaves_its_bytes_out_of_the_log") {
    cw_gateway_fixture gateway{{respond_with("\x01\x1b[2J\xff Odd")}};
    const auto result = send(gateway, "POST", "/order/a");
    CHECK(cw_status_of(result.answer) == 502);
    CHECK(result.log.find("invalid status of unprintable bytes") != std::string::npos);
    CHECK(result.log.find('\x1b') == std::string::npos);
}

// Guards against a change of the statuses that belong to the caller.
TEST_CASE("response_with_a_status_from_200_to_599_is_passed_on") {
    for (const char* status : {"200", "299", "302", "404", "500", "599"}) {
        CAPTURE(status);
        cw_gateway_fixture gateway{{respond_with(std::string{status} + " Any")}};
        const auto answer = gateway.send("POST", "/order/a", attempt_headers, "x");
        CHECK(answer.starts_with("HTTP/1.1 " + std::string{status}));
        CHECK(answer.ends_with("\r\n\r\nfine"));
    }
}

// Guards against an interim response that is taken for the final one, and against a connection that
// is lost because of it.
TEST_CASE("interim_responses_are_skipped_and_the_final_one_is_passed_on") {
    const std::vector<std::string> skipped{interim("100"), interim("102"), interim("199"),
                                           interim("103") + interim("102"),
                                           "HTTP/1.1 100 Continue\r\nConnection: close\r\n"
                                           "X-Cuminwinch-Attempt-Id: r1\r\n\r\n"};
    for (const auto& text : skipped) {
        CAPTURE(text);
        cw_gateway_fixture gateway{{respond_after(text)}};
        for (int i = 0; i < 2; ++i) {
            const auto answer = gateway.send("POST", "/order/a", attempt_headers, "x");
            CHECK(cw_status_of(answer) == 200);
            CHECK(answer.ends_with("\r\n\r\nfine"));
        }
        CHECK(gateway.upstream(0).requests() == 2);
        CHECK(connections(gateway) == 1);
    }
}

// Guards against an upstream that keeps a request by interim responses without end.
TEST_CASE("interim_responses_beyond_two_are_not_skipped") {
    const auto three = interim("102") + interim("102") + interim("102");
    cw_gateway_fixture gateway{{respond_after(three)}};
    const auto result = send(gateway, "POST", "/order/a");
    CHECK(cw_status_of(result.answer) == 502);
    CHECK(result.log.find("too many interim responses, status 102") != std::string::npos);
    CHECK(gateway.upstream(0).requests() == 1);
}

// Guards against a request that fails though it may be sent once more.
TEST_CASE("interim_responses_beyond_two_are_replaced_by_the_answer_of_another_upstream") {
    std::atomic<int> count{0};
    const auto script =
        first_then_ok(count, respond_after(interim("102") + interim("102") + interim("102")));
    cw_gateway_fixture gateway{{script, script}};
    CHECK(cw_status_of(gateway.send("GET", "/safe/a", attempt_headers)) == 200);
    CHECK(count == 2);
}

// Guards against a second run of a request that is not idempotent.
TEST_CASE("interim_response_without_a_final_one_does_not_state_that_the_request_did_not_run") {
    cw_gateway_fixture gateway{{[](const std::string&) {
        return cw_raw_upstream::reply{interim("100"), true};
    }}};
    CHECK(cw_status_of(gateway.send("POST", "/order/a", attempt_headers, "x")) == 502);
    CHECK(gateway.upstream(0).requests() == 1);
}

// Guards against a backoff for an owner that took its request, which an interim response shows.
TEST_CASE("interim_response_without_a_final_one_does_not_count_as_shedding") {
    cw_gateway_fixture gateway{{[](const std::string&) {
        return cw_raw_upstream::reply{interim("102"), true};
    }}};
    const std::string fields = attempt_headers + "X-Cuminwinch-Shard-Key: 7\r\n";
    for (int i = 0; i < 3; ++i) {
        CHECK(cw_status_of(gateway.send("GET", "/key/a", fields)) == 502);
    }
}

// Guards against a load header that costs its response, and against a log line for each response.
TEST_CASE("response_with_an_invalid_load_is_passed_on_and_logged_once") {
    for (const char* load : {"", "1", "1,2", "1,2,6,100,5", "-1,2,6", "1,2,0", "1,2,6,0",
                             "99999999999,2,6", "1,2,6,100001", "a,b,c", "1,2,6,nan"}) {
        CAPTURE(load);
        const std::string field = "X-Cuminwinch-Instance-Load: " + std::string{load};
        cw_gateway_fixture gateway{{respond_with("200 OK", field + "\r\n")}};
        cw_log_capture capture;
        std::vector<std::string> answers;
        for (int i = 0; i < 4; ++i) {
            answers.push_back(gateway.send("POST", "/order/a", attempt_headers, "x"));
        }
        const auto log = capture.text();
        CHECK(std::all_of(answers.begin(), answers.end(),
                          [](const auto& answer) { return cw_status_of(answer) == 200; }));
        CHECK(connections(gateway) == 1);
        CHECK(cw_count_of(log, "The load that an upstream reports is invalid") == 1);
        CHECK(log.find("upstream=u0 service=order header=\"" + field + "\"") != std::string::npos);
    }
}

TEST_CASE("response_with_a_load_of_three_or_four_values_logs_nothing_about_it") {
    for (const char* load : {"1,2,6", "1,2,6,300"}) {
        CAPTURE(load);
        cw_gateway_fixture gateway{
            {respond_with("200 OK", "X-Cuminwinch-Instance-Load: " + std::string{load} + "\r\n")}};
        const auto result = send(gateway, "POST", "/order/a");
        CHECK(cw_status_of(result.answer) == 200);
        CHECK(result.log.find("The load that") == std::string::npos);
    }
}
