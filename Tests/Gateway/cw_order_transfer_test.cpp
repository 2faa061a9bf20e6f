#include "cw_async.h"
#include "cw_http_client.h"
#include "cw_platform_command_sender.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace net = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {

/// An upstream that carries out one order and answers it, and breaks the connection of the second
/// one once it has carried that out. It ends then, or lives and would carry out a third.
struct dying_upstream {
    net::io_context context;
    net::ip::tcp::acceptor acceptor{context, {net::ip::address_v4::loopback(), 0}};
    cw_http_client client{context};
    cw_platform_command_sender orders{client};
    cw_key_order::kind second = cw_key_order::kind::grant;
    bool ends = true;
    int carried_out = 0;
    std::vector<cw_order_result> results;

    void play() {
        net::co_spawn(context, serve(), net::detached);
        net::co_spawn(context, send_two(), net::detached);
        context.run_for(2s);
    }

private:
    net::awaitable<void> serve() {
        auto socket = co_await acceptor.async_accept(net::use_awaitable);
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> order;
        co_await http::async_read(socket, buffer, order, net::use_awaitable);
        ++carried_out;
        http::response<http::string_body> done{http::status::ok, 11};
        done.prepare_payload();
        co_await http::async_write(socket, done, net::use_awaitable);
        net::co_spawn(context, break_each(), net::detached);
        co_await break_next(socket);
    }

    /// Carries an order out and breaks its connection.
    net::awaitable<void> break_next(net::ip::tcp::socket& socket) {
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> order;
        boost::system::error_code failure;
        co_await http::async_read(socket, buffer, order, cw_redirect_error(failure));
        if (failure) {
            co_return;
        }
        ++carried_out;
        if (ends) {
            acceptor.close();
        }
        socket.set_option(net::socket_base::linger{true, 0});
        socket.close();
    }

    net::awaitable<void> break_each() {
        boost::system::error_code failure;
        while (!failure) {
            net::ip::tcp::socket socket{context};
            co_await acceptor.async_accept(socket, cw_redirect_error(failure));
            if (!failure) {
                co_await break_next(socket);
            }
        }
    }

    net::awaitable<void> send_two() {
        cw_key_order order;
        order.what = cw_key_order::kind::grant;
        order.upstream = {"u1", 1, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
        order.lease = 1s;
        for (int i = 0; i < 2; ++i) {
            order.what = i == 0 ? cw_key_order::kind::grant : second;
            const auto ended = co_await orders.send(order, std::chrono::steady_clock::now() + 1s);
            results.push_back(ended.result);
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(dying_upstream, "order_carried_out_before_its_connection_broke_counts_as_sent") {
    play();
    CHECK(carried_out == 2);
    REQUIRE(results.size() == 2);
    CHECK(results[0] == cw_order_result::done);
    CHECK(results[1] == cw_order_result::unanswered);
}

TEST_CASE_FIXTURE(dying_upstream, "release_whose_connection_broke_is_not_sent_a_second_time") {
    second = cw_key_order::kind::release;
    ends = false;
    play();
    CHECK(carried_out == 2);
    REQUIRE(results.size() == 2);
    CHECK(results[1] == cw_order_result::unanswered);
}

namespace {

/// An upstream that sends each answer twice, the second time at once or after a moment, and refuses
/// every order but the first.
struct repeating_upstream {
    net::io_context context;
    net::ip::tcp::acceptor acceptor{context, {net::ip::address_v4::loopback(), 0}};
    cw_http_client client{context};
    cw_platform_command_sender orders{client};
    std::chrono::milliseconds pause{0};
    int answered = 0;
    std::vector<cw_order_result> results;

    void play() {
        net::co_spawn(context, accept(), net::detached);
        net::co_spawn(context, send_two(), net::detached);
        context.run_for(1s);
    }

private:
    net::awaitable<void> accept() {
        while (true) {
            auto socket = co_await acceptor.async_accept(net::use_awaitable);
            net::co_spawn(context, serve(std::move(socket)), net::detached);
        }
    }

    net::awaitable<void> serve(net::ip::tcp::socket socket) {
        boost::beast::flat_buffer buffer;
        boost::system::error_code failure;
        while (!failure) {
            http::request<http::string_body> order;
            co_await http::async_read(socket, buffer, order, cw_redirect_error(failure));
            http::response<http::string_body> answer{
                answered++ == 0 ? http::status::ok : http::status::conflict, 11};
            answer.prepare_payload();
            for (int copy = 0; copy < 2 && !failure; ++copy) {
                co_await http::async_write(socket, answer, cw_redirect_error(failure));
                co_await cw_pause(context, pause);
            }
        }
    }

    net::awaitable<void> send_two() {
        cw_key_order order;
        order.upstream = {"u1", 1, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
        order.lease = 1s;
        for (int i = 0; i < 2; ++i) {
            const auto ended =
                co_await orders.send(order, std::chrono::steady_clock::now() + 300ms);
            results.push_back(ended.result);
            co_await cw_pause(context, 80ms);
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(repeating_upstream,
                  "second_copy_of_an_answer_is_never_taken_for_the_next_orders") {
    SUBCASE("at once") {}
    SUBCASE("later") {
        pause = 20ms;
    }
    play();
    REQUIRE(results.size() == 2);
    CHECK(results[0] == cw_order_result::done);
    CHECK(results[1] == cw_order_result::fenced);
}
