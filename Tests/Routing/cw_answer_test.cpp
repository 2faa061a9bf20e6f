#include "cw_raw_caller.h"
#include "cw_routed_call.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

const std::string buffered_answer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789";
const std::string chunked_answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                                   "Trailer: X-Sum\r\n\r\n"
                                   "5\r\nhello\r\n6;ext=1\r\n world\r\n0\r\nX-Sum: 11\r\n\r\n";

/// Sends the first `length` bytes of an answer and closes the connection.
cw_raw_upstream::script truncate_at(const std::string& answer, const std::size_t& length) {
    return [answer, &length](const std::string&) {
        return cw_raw_upstream::reply{answer.substr(0, length), true};
    };
}

/// The target in a request line.
std::string target_of(const std::string& request) {
    const auto begin = request.find(' ') + 1;
    return request.substr(begin, request.find(' ', begin) - begin);
}

std::string complete_answer(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("buffered_answer_cut_at_each_byte_is_unknown_and_only_the_complete_one_is_answered") {
    std::size_t length = 0;
    cw_routed_call router{truncate_at(buffered_answer, length)};
    for (; length < buffered_answer.size(); ++length) {
        const auto result = router.call("POST", "/gallery/k/x", 2s);
        CHECK_MESSAGE(result.is_complete, "cut at " << length);
        CHECK_MESSAGE(result.outcome == "unknown", "cut at " << length);
        CHECK_MESSAGE(result.status == 502, "cut at " << length);
        CHECK_MESSAGE(result.retry_after_ms > 0, "cut at " << length);
    }
    const auto result = router.call("POST", "/gallery/k/x", 2s);
    CHECK(result.outcome == "answered");
    CHECK(result.body == "0123456789");
    CHECK(router.upstream().requests() == buffered_answer.size() + 1);
}

TEST_CASE("chunked_answer_cut_at_each_byte_never_looks_whole") {
    std::size_t length = 0;
    cw_routed_call router{truncate_at(chunked_answer, length)};
    for (; length < chunked_answer.size(); ++length) {
        const auto result = router.call("POST", "/gallery/k/x", 2s);
        const bool refused = result.is_complete && result.outcome == "unknown";
        CHECK_MESSAGE((refused || !result.is_complete), "cut at " << length);
    }
    const auto result = router.call("POST", "/gallery/k/x", 2s);
    CHECK(result.is_complete);
    CHECK(result.outcome == "answered");
    CHECK(result.body == "hello world");
}

TEST_CASE("long_answer_cut_anywhere_never_looks_whole") {
    const auto answer = complete_answer(std::string(600'000, 'x'));
    const auto head = answer.find("\r\n\r\n") + 4;
    std::size_t length = 0;
    cw_routed_call router{truncate_at(answer, length)};
    for (const auto length_sent :
         {head, head + 1, head + 262'144, head + 300'000, answer.size() - 1}) {
        length = length_sent;
        const auto result = router.call("POST", "/gallery/k/x", 2s);
        CHECK_MESSAGE(!result.is_complete, "cut at " << length_sent);
    }
    length = answer.size();
    const auto result = router.call("POST", "/gallery/k/x", 2s);
    CHECK(result.is_complete);
    CHECK(result.body.size() == 600'000);
}

TEST_CASE("answer_that_is_no_http_is_unknown") {
    cw_routed_call router{[](const std::string&) {
        return cw_raw_upstream::reply{"garbage of no protocol\r\n\r\n", false};
    }};
    const auto result = router.call("POST", "/gallery/k/x", 2s);
    CHECK(result.outcome == "unknown");
    CHECK(router.upstream().requests() == 1);
}

TEST_CASE("answer_sent_twice_never_reaches_another_request") {
    cw_routed_call router{[](const std::string& request) {
        const auto answer = complete_answer(target_of(request));
        return cw_raw_upstream::reply{answer + answer, false};
    }};
    for (int i = 0; i < 50; ++i) {
        const auto target = "/gallery/k" + std::to_string(i) + "/x";
        const auto result = router.call("POST", target, 2s);
        CHECK(result.outcome == "answered");
        CHECK(result.body == target);
    }
}

TEST_CASE("answer_that_comes_after_the_deadline_never_reaches_another_request") {
    cw_routed_call router{[](const std::string& request) {
        const bool is_late = target_of(request).ends_with("/late");
        return cw_raw_upstream::reply{complete_answer(target_of(request)), false,
                                      is_late ? 150ms : 0ms};
    }};
    for (int i = 0; i < 6; ++i) {
        const bool is_late = i % 2 == 0;
        const auto target = "/gallery/k" + std::to_string(i) + (is_late ? "/late" : "/x");
        const auto result = router.call("POST", target, is_late ? 60ms : 2s);
        CHECK(result.outcome == (is_late ? "unknown" : "answered"));
        CHECK((result.outcome == "unknown" || result.body == target));
    }
}

TEST_CASE("caller_that_leaves_has_its_request_cancelled_at_the_upstream") {
    cw_routed_call router{[](const std::string& request) {
        return cw_raw_upstream::reply{complete_answer(target_of(request)), false, 3s};
    }};
    router.call_and_leave("/gallery/k/x", 50ms);
    const auto until = std::chrono::steady_clock::now() + 1s;
    while (router.upstream().cancelled() == 0 && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(5ms);
    }
    CHECK(router.upstream().cancelled() == 1);
    CHECK(router.shared().open_requests == 0);
}

TEST_CASE("caller_gone_before_a_router_that_is_behind_read_its_request_has_nothing_sent") {
    cw_routed_call router{[](const std::string& request) {
        return cw_raw_upstream::reply{complete_answer(target_of(request))};
    }};
    router.block_thread(150ms);
    router.call_and_leave("/gallery/k/x", 0ms);
    std::this_thread::sleep_for(400ms);
    CHECK(router.upstream().requests() == 0);
    CHECK(router.shared().open_requests == 0);
}

TEST_CASE("caller_gone_behind_requests_sent_ahead_has_the_first_cancelled_by_the_router") {
    cw_routed_call router{[](const std::string& request) {
        return cw_raw_upstream::reply{complete_answer(target_of(request)), false, 3s};
    }};
    const std::string request = "GET /gallery/k/x HTTP/1.1\r\nHost: test\r\n\r\n";
    static_cast<void>(cw_send_raw(router.port(), {request, request, request}, 60ms, 0ms));
    const auto until = std::chrono::steady_clock::now() + 1s;
    while (router.upstream().cancelled() == 0 && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(5ms);
    }
    CHECK(router.upstream().cancelled() == 1);
    CHECK(router.upstream().requests() == 1);
}

TEST_CASE("request_read_again_after_a_lost_connection_is_answered_once_it_runs") {
    int count = 0;
    cw_routed_call router{[&count](const std::string& request) {
        return cw_raw_upstream::reply{++count == 1 ? "" : complete_answer(target_of(request)),
                                      count == 1};
    }};
    const auto result = router.call("GET", "/gallery/k/x", 2s);
    CHECK(result.outcome == "answered");
    CHECK(result.body == "/gallery/k/x");
    CHECK(router.upstream().requests() == 2);
}

TEST_CASE("request_refused_by_the_upstream_after_a_lost_connection_is_unknown") {
    int count = 0;
    cw_routed_call router{[&count](const std::string&) {
        if (++count == 1) {
            return cw_raw_upstream::reply{"", true};
        }
        return cw_raw_upstream::reply{"HTTP/1.1 503 Busy\r\nCuminwinch-Refused: busy\r\n"
                                      "Content-Length: 0\r\n\r\n",
                                      false};
    }};
    const auto result = router.call("GET", "/gallery/k/x", 300ms);
    // The first attempt may have run, so the refusals of later ones do not prove that the request
    // did not run.
    CHECK(result.outcome == "unknown");
}
