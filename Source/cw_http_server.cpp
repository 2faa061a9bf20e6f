#include "cw_http_server.h"

#include "cw_async.h"
#include "cw_read_room.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {
using namespace std::chrono_literals;
constexpr auto idle_timeout = 120s;
constexpr std::uint64_t max_body_bytes = 2'000'000;
} // namespace

cw_http_server::cw_http_server(net::io_context& context, const cw_address& address, handler handle)
    : context_{context},
      acceptor_{context, address.tcp()},
      handle_{std::move(handle)} {}

void cw_http_server::start() {
    net::co_spawn(context_, accept(), net::detached);
}

void cw_http_server::close() {
    acceptor_.close();
}

net::awaitable<void> cw_http_server::accept() {
    while (acceptor_.is_open()) {
        boost::system::error_code failure;
        auto socket = co_await acceptor_.async_accept(cw_redirect_error(failure));
        if (!failure) {
            socket.set_option(net::ip::tcp::no_delay{true}, failure);
            net::co_spawn(context_, serve(std::move(socket)), net::detached);
        }
    }
}

net::awaitable<void> cw_http_server::serve(net::ip::tcp::socket socket) {
    boost::beast::tcp_stream stream{std::move(socket)};
    boost::beast::flat_buffer buffer{cw_max_read_buffer};
    boost::system::error_code failure;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        stream.expires_after(idle_timeout);
        while (!failure && !parser.is_done()) {
            co_await http::async_read_some(stream, buffer, parser, cw_redirect_error(failure));
            cw_make_read_room(buffer, parser, cw_control_read_room);
        }
        if (failure) {
            co_return;
        }
        cw_release_read_room(buffer);
        stream.expires_never();
        const bool keep_alive = parser.get().keep_alive();
        auto response = co_await handle_(parser.release());
        const bool stays_open = keep_alive && response.keep_alive();
        response.keep_alive(stays_open);
        stream.expires_after(idle_timeout);
        co_await http::async_write(stream, response, cw_redirect_error(failure));
        if (failure || !stays_open) {
            co_return;
        }
    }
}
