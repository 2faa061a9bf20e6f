#include "cw_gateway_fixture.h"
#include "cw_raw_caller.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;

namespace {

const std::string attempt_headers =
    "X-Cuminwinch-Attempt-Id: r1\r\nX-Cuminwinch-Request-Timeout-Ms: 800\r\n";
const std::string answer_head = "HTTP/1.1 200 OK\r\nX-Cuminwinch-Attempt-Id: r1\r\n"
                                "X-Cuminwinch-Response-Signature: s\r\n";
constexpr std::size_t mebibyte = 1'024 * 1'024;
/// Bytes that the kernel's buffers of a loopback connection may hold beyond those read.
constexpr std::size_t socket_buffers = 16 * mebibyte;

/// Answer of an upstream that starts with `prefix` and then repeats `repeated` without end.
struct endless_answer {
    const char* name;
    std::string prefix;
    std::string repeated;
    /// Maximum number of bytes that the gateway may accept of it.
    std::size_t max_bytes;
};

std::vector<endless_answer> endless_answers() {
    const std::string chunked = answer_head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::size_t head_limit = mebibyte + socket_buffers;
    const std::size_t body_limit = 10 * mebibyte + socket_buffers;
    return {
        {"status line", "HTTP/1.1 200 ", std::string(4'000, 'O'), head_limit},
        {"no line at all", "", std::string(4'000, 'x'), head_limit},
        {"header lines", answer_head, "X-More: and more\r\n", head_limit},
        {"one header line", answer_head + "X-More: ", std::string(4'000, 'a'), head_limit},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", head_limit},
        {"chunk size", chunked, std::string(4'000, '0'), body_limit},
        {"chunk extension", chunked + "5;more=", std::string(4'000, 'a'), body_limit},
        {"trailer lines", chunked + "1\r\na\r\n0\r\n", "X-More: and more\r\n", body_limit},
        {"chunks", chunked, "400\r\n" + std::string(1'024, 'b') + "\r\n", body_limit},
        {"body without length", answer_head + "\r\n", std::string(4'000, 'b'), body_limit},
        {"body of a great length", answer_head + "Content-Length: 99999999999\r\n\r\n",
         std::string(4'000, 'b'), body_limit},
    };
}

/// Waits up to 3 s for the gateway to cut off the endless answer; returns whether it did.
bool wait_until_ended(cw_raw_upstream& upstream) {
    const auto until = std::chrono::steady_clock::now() + 3s;
    while (upstream.endless_ended() == 0 && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(5ms);
    }
    return upstream.endless_ended() != 0;
}

void check_is_cut_off(const endless_answer& kind, std::chrono::milliseconds pause) {
    CAPTURE(std::string{kind.name});
    CAPTURE(pause.count());
    cw_gateway_fixture gateway{{[&](const std::string&) {
        cw_raw_upstream::reply reply{kind.prefix};
        reply.endless = kind.repeated;
        reply.endless_interval = pause;
        return reply;
    }}};
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = gateway.send("POST", "/order/a", attempt_headers, "x");
    CHECK(std::chrono::steady_clock::now() - begin < 1'500ms);
    // The request may have run, so neither a success nor "did not run" (503) would be true.
    const auto status = cw_status_of(answer);
    const bool is_unknown = status == 502 || status == 504;
    CHECK(is_unknown);
    CHECK(gateway.upstream(0).requests() == 1);
    CHECK(wait_until_ended(gateway.upstream(0)));
    CHECK(gateway.upstream(0).endless_bytes() < kind.max_bytes);
}

} // namespace

TEST_CASE("answer_without_end_at_full_speed_is_cut_within_bytes_and_time") {
    for (const auto& kind : endless_answers()) {
        check_is_cut_off(kind, 0ms);
    }
}

TEST_CASE("answer_without_end_that_comes_slowly_is_cut_at_the_time_limit") {
    for (auto kind : endless_answers()) {
        kind.repeated.resize(std::min<std::size_t>(kind.repeated.size(), 40));
        check_is_cut_off(kind, 5ms);
    }
}

TEST_CASE("bytes_without_end_behind_an_answer_cost_its_connection_and_nothing_else") {
    cw_gateway_fixture gateway{{[](const std::string& request) {
        cw_raw_upstream::reply reply{cw_upstream_answer(
            request, "200 OK", "X-Cuminwinch-Response-Signature: s\r\n", "right")};
        reply.endless = std::string(4'000, 'z');
        return reply;
    }}};
    for (int i = 0; i < 3; ++i) {
        const auto answer = gateway.send("POST", "/order/a", attempt_headers, "x");
        CHECK(cw_status_of(answer) == 200);
        CHECK(answer.ends_with("right"));
    }
    CHECK(wait_until_ended(gateway.upstream(0)));
    CHECK(gateway.upstream(0).endless_bytes() < 3 * (mebibyte + socket_buffers));
}
