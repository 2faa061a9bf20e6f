#include "cw_async.h"
#include "cw_http_client.h"
#include "cw_http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
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
        work();
        context.run_for(longest);
    }

private:
    void work() {
        const auto until = std::chrono::steady_clock::now() + work_per_turn;
        while (std::chrono::steady_clock::now() < until) {
        }
        ++turns;
        net::post(context, [this] { work(); });
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
        work();
        context.run_for(20s);
    }

private:
    void work() {
        const auto until = std::chrono::steady_clock::now() + 1ms;
        while (std::chrono::steady_clock::now() < until) {
        }
        ++turns;
        net::post(context, [this] { work(); });
    }

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
