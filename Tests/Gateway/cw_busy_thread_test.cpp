#include "cw_async.h"
#include "cw_busy_loop.h"
#include "cw_gateway_fixture.h"
#include "cw_http_client.h"
#include "cw_http_server.h"
#include "cw_raw_caller.h"
#include "cw_routed_call.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <thread>

namespace net = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t megabyte = 1'000'000;
/// Turns that fit into the shortest time in which a configuration has to be in force, 2 s, on a
/// host of 0.1 cores that is slowed five times: 0.4 ms of work make 20 ms.
constexpr int max_turns = 100;
constexpr std::uint16_t server_port = 27'880;

/// A thread that has other work in each of its turns, and a call on it. The peer runs on a thread
/// of its own, so the bytes that the call waits for are always there.
struct busy_thread {
    net::io_context context{1};
    cw_http_client client{context};
    std::optional<cw_result<cw_http_response>> result;
    std::chrono::milliseconds work_per_turn{1};
    int turns = 0;
    std::jthread peer;

    /// Makes the call and runs the thread until it has ended, for `longest` at most.
    void call(const std::string& address, cw_http_request request, cw_time_point deadline,
              std::chrono::milliseconds longest) {
        net::co_spawn(
            context,
            [=, this, request = std::move(request)]() mutable -> net::awaitable<void> {
                result = co_await client.request(address, std::move(request), deadline);
                context.stop();
            },
            net::detached);
        const cw_busy_loop loop{context, work_per_turn};
        context.run_for(longest);
        turns = loop.turns();
    }
};

/// A busy thread and a peer that answers one request.
struct busy_thread_that_receives : busy_thread {
    net::io_context peer_context{1};
    net::ip::tcp::acceptor acceptor{peer_context, {net::ip::address_v4::loopback(), 0}};

    void receive(std::size_t bytes, bool is_chunked, cw_time_point deadline,
                 std::chrono::milliseconds longest) {
        peer = std::jthread{[this, bytes, is_chunked] { answer(bytes, is_chunked); }};
        call("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
             {http::verb::get, "/", 11}, deadline, longest);
    }

private:
    void answer(std::size_t bytes, bool is_chunked) {
        net::ip::tcp::socket socket{peer_context};
        acceptor.accept(socket);
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        boost::system::error_code failure;
        http::read(socket, buffer, request, failure);
        cw_http_response response{http::status::ok, 11};
        response.body() = std::string(bytes, 'x');
        if (is_chunked) {
            response.chunked(true);
        } else {
            response.prepare_payload();
        }
        http::write(socket, response, failure);
    }
};

/// A busy thread that serves, and a peer that sends it one request.
struct busy_thread_that_serves {
    net::io_context context{1};
    cw_http_server server{context,
                          {net::ip::address_v4::loopback(), server_port},
                          [this](cw_http_request request) { return serve(std::move(request)); }};
    int turns = 0;
    std::size_t received = 0;
    std::jthread peer;

    void serve_one(std::size_t bytes) {
        server.start();
        peer = std::jthread{[bytes] { send(bytes); }};
        const cw_busy_loop loop{context, 1ms};
        context.run_for(20s);
        turns = loop.turns();
    }

private:
    net::awaitable<cw_http_response> serve(cw_http_request request) {
        received = request.body().size();
        context.stop();
        co_return cw_make_response(http::status::ok, "{}");
    }

    static void send(std::size_t bytes) {
        net::io_context peer_context{1};
        net::ip::tcp::socket socket{peer_context};
        socket.connect({net::ip::address_v4::loopback(), server_port});
        cw_http_request request{http::verb::post, "/", 11};
        request.body() = std::string(bytes, 'x');
        request.prepare_payload();
        boost::system::error_code failure;
        http::write(socket, request, failure);
    }
};

/// A peer that reads whatever is sent to it, and never answers.
struct busy_thread_that_sends : busy_thread {
    net::io_context peer_context{1};
    net::ip::tcp::acceptor acceptor{peer_context, {net::ip::address_v4::loopback(), 0}};

    void send(std::size_t bytes, cw_time_point deadline, std::chrono::milliseconds longest) {
        peer = std::jthread{[this] { read_everything(); }};
        cw_http_request request{http::verb::put, "/", 11};
        request.body() = std::string(bytes, 'x');
        call("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), std::move(request),
             deadline, longest);
    }

private:
    void read_everything() {
        net::ip::tcp::socket socket{peer_context};
        acceptor.accept(socket);
        std::string block(megabyte, ' ');
        boost::system::error_code failure;
        while (!failure) {
            socket.read_some(net::buffer(block), failure);
        }
    }
};

constexpr std::size_t large_answer = 500'000;

const std::string attempt_headers =
    "X-Cuminwinch-Attempt-Id: r1\r\nX-Cuminwinch-Request-Timeout-Ms: 2900\r\n";

cw_raw_upstream::script answer_of(std::size_t bytes) {
    return [bytes](const std::string& request) {
        return cw_raw_upstream::reply{cw_upstream_answer(
            request, "200 OK", "X-Cuminwinch-Response-Signature: s\r\n", std::string(bytes, 'g'))};
    };
}

/// The same in chunks of a thousand bytes.
cw_raw_upstream::script chunked_answer_of(std::size_t bytes) {
    return [bytes](const std::string&) {
        std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (std::size_t sent = 0; sent < bytes; sent += 1'000) {
            text += "3e8\r\n" + std::string(1'000, 'g') + "\r\n";
        }
        return cw_raw_upstream::reply{text + "0\r\n\r\n"};
    };
}

/// The body of a gateway's answer, which is read as fast as it comes.
std::string body_from(std::uint16_t port) {
    net::io_context caller_context{1};
    net::ip::tcp::socket socket{caller_context};
    socket.connect({net::ip::address_v4::loopback(), port});
    const std::string text =
        "GET /safe/a HTTP/1.1\r\nHost: shop.example\r\n" + attempt_headers + "\r\n";
    net::write(socket, net::buffer(text));
    boost::beast::flat_buffer buffer;
    buffer.reserve(megabyte);
    http::response<http::string_body> answer;
    http::read(socket, buffer, answer);
    return answer.body();
}

/// Turns that a gateway's traffic thread takes for ten requests with a body of the given length.
int turns_of_ten_requests(std::size_t bytes) {
    cw_gateway_fixture gateway{{answer_of(10)}};
    const cw_busy_loop loop{gateway.traffic_context(), 1ms};
    for (int i = 0; i < 10; ++i) {
        REQUIRE(cw_status_of(gateway.send("POST", "/order/a", attempt_headers,
                                          std::string(bytes, 'x'))) == 200);
    }
    return loop.turns();
}

/// Turns that a router's traffic thread takes for one answer.
int turns_of_routed_answer(cw_raw_upstream::script script) {
    cw_routed_call router{std::move(script)};
    const cw_busy_loop loop{router.context(), 1ms};
    const auto answer = router.call("GET", "/gallery/a", 5s);
    REQUIRE(answer.is_complete);
    REQUIRE(answer.body.size() >= large_answer);
    return loop.turns();
}

} // namespace

// Guards against a buffer that keeps its first size, so that a large answer costs a turn for every
// 512 bytes.
TEST_CASE_FIXTURE(busy_thread_that_receives, "answer_of_a_megabyte_takes_few_turns_of_its_thread") {
    receive(megabyte, false, std::chrono::steady_clock::now() + 20s, 20s);
    REQUIRE(result.has_value());
    REQUIRE(result->has_value());
    CHECK((*result)->body().size() == megabyte);
    CHECK(turns <= max_turns);
}

TEST_CASE_FIXTURE(busy_thread_that_receives,
                  "answer_of_a_megabyte_without_a_length_takes_few_turns_of_its_thread") {
    receive(megabyte, true, std::chrono::steady_clock::now() + 20s, 20s);
    REQUIRE(result.has_value());
    REQUIRE(result->has_value());
    CHECK((*result)->body().size() == megabyte);
    CHECK(turns <= max_turns);
}

TEST_CASE_FIXTURE(busy_thread_that_serves, "request_of_a_megabyte_takes_few_turns_of_its_thread") {
    serve_one(megabyte);
    CHECK(received == megabyte);
    CHECK(turns <= max_turns);
}

// Guards against a response that is thrown away although its last bytes are there.
TEST_CASE_FIXTURE(busy_thread_that_receives,
                  "answer_whose_last_bytes_are_there_at_the_deadline_is_complete") {
    constexpr std::size_t bytes = 60'000;
    work_per_turn = 300ms;
    receive(bytes, false, std::chrono::steady_clock::now() + 200ms, 2s);
    REQUIRE(result.has_value());
    REQUIRE(result->has_value());
    CHECK((*result)->body().size() == bytes);
}

// Guards against a deadline that a transfer outlasts whose bytes are always there.
TEST_CASE_FIXTURE(busy_thread_that_receives, "call_on_a_busy_thread_ends_at_its_deadline") {
    constexpr auto time_limit = 200ms;
    work_per_turn = 20ms;
    const auto started_at = std::chrono::steady_clock::now();
    receive(cw_http_client::max_body_bytes - megabyte / 10, false, started_at + time_limit, 2s);
    const auto took = std::chrono::steady_clock::now() - started_at;
    REQUIRE(result.has_value());
    CHECK_FALSE(result->has_value());
    CHECK(cw_was_response_cut(result->error()));
    CHECK(took < time_limit + 5 * work_per_turn);
}

TEST_CASE_FIXTURE(busy_thread_that_sends, "call_that_sends_on_a_busy_thread_ends_at_its_deadline") {
    constexpr auto time_limit = 100ms;
    work_per_turn = 50ms;
    const auto started_at = std::chrono::steady_clock::now();
    send(20 * megabyte, started_at + time_limit, 3s);
    const auto took = std::chrono::steady_clock::now() - started_at;
    REQUIRE(result.has_value());
    CHECK_FALSE(result->has_value());
    CHECK(took < time_limit + 5 * work_per_turn);
}

// Guards against the first size of a buffer where requests and answers are forwarded.
TEST_CASE("answer_of_an_upstream_takes_few_turns_of_the_traffic_thread") {
    cw_gateway_fixture gateway{{answer_of(large_answer)}};
    const cw_busy_loop loop{gateway.traffic_context(), 1ms};
    CHECK(body_from(gateway.port()).size() == large_answer);
    CHECK(loop.turns() <= max_turns);
}

TEST_CASE("request_of_a_caller_takes_few_turns_of_the_traffic_thread") {
    constexpr int turns_per_body = 5;
    CHECK(turns_of_ten_requests(9'900) <= turns_of_ten_requests(1) + 10 * turns_per_body);
}

TEST_CASE("answer_that_a_router_passes_on_takes_few_turns_of_the_traffic_thread") {
    CHECK(turns_of_routed_answer(answer_of(large_answer)) <= max_turns);
    CHECK(turns_of_routed_answer(chunked_answer_of(large_answer)) <= max_turns);
}
