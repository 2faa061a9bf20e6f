#include "cw_gateway_fixture.h"
#include "cw_raw_caller.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fstream>
#include <mutex>
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

/// Memory of the smallest host.
constexpr std::size_t host_memory = 160 * mebibyte;

cw_gateway_options options_of_a_small_host() {
    cw_gateway_options options;
    options.memory_limit = host_memory;
    return options;
}

cw_raw_upstream::script endless_body() {
    return [](const std::string&) {
        cw_raw_upstream::reply reply{answer_head + "\r\n"};
        reply.endless = std::string(64'000, 'b');
        return reply;
    };
}

cw_raw_upstream::script whole_answer(std::size_t length) {
    return [length](const std::string& request) {
        return cw_raw_upstream::reply{cw_upstream_answer(
            request, "200 OK", "X-Cuminwinch-Response-Signature: s\r\n", std::string(length, 'g'))};
    };
}

/// The head of an answer of the given length, whose body does not come.
cw_raw_upstream::script head_only(std::size_t length) {
    return [length](const std::string&) {
        return cw_raw_upstream::reply{answer_head + "Content-Length: " + std::to_string(length) +
                                      "\r\n\r\n"};
    };
}

/// Statuses of the answers to requests that are sent at the same time.
std::vector<int> send_at_once(cw_gateway_fixture& gateway, std::size_t count,
                              const std::string& method, const std::string& path) {
    std::vector<int> statuses;
    std::mutex mutex;
    {
        std::vector<std::jthread> callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.emplace_back([&] {
                const auto status = cw_status_of(
                    gateway.send(method, path, attempt_headers + "X-Cuminwinch-Shard-Key: 7\r\n",
                                 method == "POST" ? "x" : ""));
                const std::scoped_lock lock{mutex};
                statuses.push_back(status);
            });
        }
    }
    return statuses;
}

/// Makes the kernel measure this process's peak memory from now on.
void reset_peak_memory() {
    std::ofstream{"/proc/self/clear_refs"} << "5";
}

/// Peak memory of this process since reset_peak_memory(), in bytes.
[[maybe_unused]] std::size_t peak_memory() {
    std::ifstream status{"/proc/self/status"};
    std::string word;
    std::size_t kibibytes = 0;
    while (status >> word && word != "VmHWM:") {
    }
    status >> kibibytes;
    return kibibytes * 1'024;
}

/// A caller that sends a request and reads nothing of the answer.
class silent_caller {
public:
    silent_caller(std::uint16_t port, const std::string& request) {
        boost::asio::ip::tcp::endpoint gateway{boost::asio::ip::address_v4::loopback(), port};
        socket_.open(gateway.protocol());
        socket_.set_option(boost::asio::socket_base::receive_buffer_size{4'096});
        socket_.connect(gateway);
        boost::asio::write(socket_, boost::asio::buffer(request));
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_{context_};
};

} // namespace

// Guards against answers that are bounded one by one and not together.
TEST_CASE("answers_without_end_to_many_callers_hold_no_more_than_the_host_has") {
    // Less than one answer may have, so that the bound is reached however slowly the answers come.
    cw_gateway_options options;
    options.memory_limit = 20 * mebibyte;
    cw_gateway_fixture gateway{{endless_body(), endless_body()}, options};
    reset_peak_memory();
    for (const auto status : send_at_once(gateway, 60, "POST", "/order/a")) {
        const bool is_true = status == 502 || status == 503 || status == 504;
        CHECK(is_true);
    }
    CHECK(gateway.take_peak_answer_bytes() <= options.answer_buffer_limit());
#ifndef __SANITIZE_ADDRESS__
    // The sanitizer keeps memory that has been freed.
    CHECK(peak_memory() < host_memory);
#endif
}

// Guards against callers of other upstreams that pay for one that sends without end.
TEST_CASE("upstream_that_sends_without_end_takes_no_memory_from_the_answers_of_others") {
    cw_gateway_fixture gateway{{endless_body(), whole_answer(100'000)}, options_of_a_small_host()};
    gateway.set_key_owner(1, false);
    std::vector<int> others;
    {
        const std::jthread faulty{[&] { send_at_once(gateway, 40, "POST", "/order/a"); }};
        // No more at once than the upstream has slots, so that none has to wait for one.
        for (int i = 0; i < 15; ++i) {
            const auto statuses = send_at_once(gateway, 3, "GET", "/key/a");
            others.insert(others.end(), statuses.begin(), statuses.end());
        }
    }
    CHECK(std::count(others.begin(), others.end(), 200) == 45);
}

// Guards against a host that sends its next request to an upstream that has just sent without end.
TEST_CASE("upstream_whose_answer_had_no_end_gets_no_request_for_a_moment") {
    // Slow, so that the other upstream is tried as well.
    cw_gateway_fixture gateway{{endless_body(), [](const std::string& request) {
                                    auto reply = whole_answer(10)(request);
                                    reply.delay = 150ms;
                                    return reply;
                                }}};
    for (int i = 0; i < 10 && gateway.upstream(0).requests() == 0; ++i) {
        send_at_once(gateway, 1, "POST", "/order/a");
    }
    REQUIRE(gateway.upstream(0).requests() == 1);
    const auto statuses = send_at_once(gateway, 3, "POST", "/order/a");
    CHECK(std::count(statuses.begin(), statuses.end(), 200) == 3);
    CHECK(gateway.upstream(0).requests() == 1);
}

TEST_CASE("owner_whose_answer_had_no_end_gets_no_keyed_request_for_a_moment") {
    cw_gateway_fixture gateway{{endless_body()}};
    const auto first = send_at_once(gateway, 1, "GET", "/key/a");
    const bool is_unknown = first.front() == 502 || first.front() == 504;
    CHECK(is_unknown);
    const auto requests = gateway.upstream(0).requests();
    const auto statuses = send_at_once(gateway, 10, "GET", "/key/a");
    CHECK(std::count(statuses.begin(), statuses.end(), 503) == 10);
    CHECK(gateway.upstream(0).requests() == requests);
}

// Guards against answers that no longer count once they are complete.
TEST_CASE("answers_to_callers_that_do_not_read_hold_no_more_than_the_limit") {
    cw_gateway_fixture gateway{{whole_answer(7 * mebibyte), whole_answer(10)},
                               options_of_a_small_host()};
    gateway.set_key_owner(0, false);
    std::vector<std::unique_ptr<silent_caller>> callers;
    for (int i = 0; i < 12; ++i) {
        callers.push_back(std::make_unique<silent_caller>(
            gateway.port(), "GET /key/a HTTP/1.1\r\nHost: shop.example\r\n" + attempt_headers +
                                "X-Cuminwinch-Shard-Key: 7\r\n\r\n"));
    }
    const auto until = std::chrono::steady_clock::now() + 3s;
    while (gateway.upstream(0).requests() < 5 && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(5ms);
    }
    // Longer than the callers' time limit, so that no answer is still being received.
    std::this_thread::sleep_for(1s);
    const auto limit = gateway.options().answer_buffer_limit();
    const auto peak = gateway.take_peak_answer_bytes();
    CHECK(peak <= limit);
    CHECK(gateway.answer_bytes() > limit / 2);
    gateway.set_key_owner(1, false);
    const auto statuses = send_at_once(gateway, 5, "GET", "/key/a");
    CHECK(std::count(statuses.begin(), statuses.end(), 200) == 5);
}

// Guards against requests that are bounded one by one and not together.
// Guards against room for bodies that counts only when they come.
TEST_CASE("answers_whose_bodies_do_not_come_count_with_the_room_for_them") {
    constexpr std::size_t length = 16'000;
    cw_gateway_fixture gateway{{head_only(length)}};
    std::jthread caller{
        [&] { static_cast<void>(gateway.send("POST", "/order/a", attempt_headers, "x")); }};
    std::this_thread::sleep_for(300ms);
    CHECK(gateway.answer_bytes() >= length);
}

TEST_CASE("requests_whose_bodies_do_not_come_count_with_the_room_for_them") {
    constexpr std::size_t length = 9'000;
    cw_gateway_fixture gateway{{whole_answer(10)}};
    static_cast<void>(
        cw_send_raw(gateway.port(),
                    {"POST /order/a HTTP/1.1\r\nHost: shop.example\r\n" + attempt_headers +
                     "Content-Length: " + std::to_string(length) + "\r\n\r\n"},
                    0ms, 200ms));
    CHECK(gateway.take_peak_request_bytes() >= length);
}

TEST_CASE("requests_that_are_large_together_are_refused_at_once_beyond_the_limit") {
    cw_gateway_options options;
    options.memory_limit = 200'000;
    cw_gateway_fixture gateway{{whole_answer(10)}, options};
    const std::string body(9'500, 'x');
    const std::string head = "POST /order/a HTTP/1.1\r\nHost: shop.example\r\n" + attempt_headers +
                             "Content-Length: " + std::to_string(body.size()) +
                             "\r\nConnection: close\r\n\r\n";
    std::vector<int> statuses;
    std::mutex mutex;
    {
        std::vector<std::jthread> callers;
        for (int i = 0; i < 12; ++i) {
            callers.emplace_back([&] {
                const auto status = cw_status_of(cw_send_raw(
                    gateway.port(), {head + body.substr(0, 9'000), body.substr(9'000)}, 300ms, 5s));
                const std::scoped_lock lock{mutex};
                statuses.push_back(status);
            });
        }
    }
    const auto served = std::count(statuses.begin(), statuses.end(), 200);
    CHECK(served >= 1);
    CHECK(std::count(statuses.begin(), statuses.end(), 503) == 12 - served);
    CHECK(served < 12);
    CHECK(gateway.upstream(0).requests() == static_cast<std::size_t>(served));
    CHECK(gateway.take_peak_request_bytes() <= options.request_buffer_limit());
}

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
