#include "cw_gateway_call.h"
#include "cw_raw_caller.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;

namespace {

const std::string named = "X-Cuminwinch-Attempt-Id: r1\r\nX-Cuminwinch-Request-Timeout-Ms: 800\r\n";
const std::string head = "HTTP/1.1 200 OK\r\nX-Cuminwinch-Attempt-Id: r1\r\n"
                         "X-Cuminwinch-Response-Signature: s\r\n";
constexpr std::size_t mebibyte = 1'024 * 1'024;
/// What the system's buffers of a loopback connection may take beyond what was read.
constexpr std::size_t socket_buffers = 16 * mebibyte;

/// Bytes that begin like an answer and go on for ever.
struct endless_form {
    const char* name;
    std::string begin;
    std::string piece;
    /// Most bytes that may be taken of it.
    std::size_t most;
};

std::vector<endless_form> endless_forms() {
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::size_t in_head = mebibyte + socket_buffers;
    const std::size_t in_body = 10 * mebibyte + socket_buffers;
    return {
        {"status line", "HTTP/1.1 200 ", std::string(4'000, 'O'), in_head},
        {"no line at all", "", std::string(4'000, 'x'), in_head},
        {"header lines", head, "X-More: and more\r\n", in_head},
        {"one header line", head + "X-More: ", std::string(4'000, 'a'), in_head},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", in_head},
        {"chunk size", chunked, std::string(4'000, '0'), in_body},
        {"chunk extension", chunked + "5;more=", std::string(4'000, 'a'), in_body},
        {"trailer lines", chunked + "1\r\na\r\n0\r\n", "X-More: and more\r\n", in_body},
        {"chunks", chunked, "400\r\n" + std::string(1'024, 'b') + "\r\n", in_body},
        {"body without length", head + "\r\n", std::string(4'000, 'b'), in_body},
        {"body of a great length", head + "Content-Length: 99999999999\r\n\r\n",
         std::string(4'000, 'b'), in_body},
    };
}

/// Waits until the upstream has seen the end of its endless answer.
bool is_ended(cw_raw_upstream& upstream) {
    const auto until = std::chrono::steady_clock::now() + 3s;
    while (upstream.endless_ended() == 0 && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(5ms);
    }
    return upstream.endless_ended() != 0;
}

void check_ends(const endless_form& form, std::chrono::milliseconds pause) {
    CAPTURE(std::string{form.name});
    CAPTURE(pause.count());
    cw_gateway_call gateway{{[&](const std::string&) {
        cw_raw_upstream::reply reply{form.begin};
        reply.endless = form.piece;
        reply.endless_interval = pause;
        return reply;
    }}};
    const auto begin = std::chrono::steady_clock::now();
    const auto seen = gateway.call("POST", "/order/a", named, "x");
    CHECK(std::chrono::steady_clock::now() - begin < 1'500ms);
    // It may have run, so neither a success nor a promise is true.
    const auto status = cw_status_of(seen);
    const bool is_unknown = status == 502 || status == 504;
    CHECK(is_unknown);
    CHECK(gateway.upstream(0).requests() == 1);
    CHECK(is_ended(gateway.upstream(0)));
    CHECK(gateway.upstream(0).endless_bytes() < form.most);
}

} // namespace

TEST_CASE("answer_without_end_at_full_speed_is_cut_within_bytes_and_time") {
    for (const auto& form : endless_forms()) {
        check_ends(form, 0ms);
    }
}

TEST_CASE("answer_without_end_that_comes_slowly_is_cut_at_the_time_limit") {
    for (auto form : endless_forms()) {
        form.piece.resize(std::min<std::size_t>(form.piece.size(), 40));
        check_ends(form, 5ms);
    }
}

TEST_CASE("bytes_without_end_behind_an_answer_cost_its_connection_and_nothing_else") {
    cw_gateway_call gateway{{[](const std::string& request) {
        cw_raw_upstream::reply reply{cw_upstream_answer(
            request, "200 OK", "X-Cuminwinch-Response-Signature: s\r\n", "right")};
        reply.endless = std::string(4'000, 'z');
        return reply;
    }}};
    for (int i = 0; i < 3; ++i) {
        const auto seen = gateway.call("POST", "/order/a", named, "x");
        CHECK(cw_status_of(seen) == 200);
        CHECK(seen.ends_with("right"));
    }
    CHECK(is_ended(gateway.upstream(0)));
    CHECK(gateway.upstream(0).endless_bytes() < 3 * (mebibyte + socket_buffers));
}
