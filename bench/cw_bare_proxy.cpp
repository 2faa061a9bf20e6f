/// A bare pass-through proxy on Boost.Beast without keys, leases, limits or outcomes. The baseline
/// for the cost of the router.

#include "cw_address.h"
#include "cw_async.h"
#include "cw_http_message.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <vector>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {

using stream = boost::beast::tcp_stream;

/// Pool of idle connections to the upstream.
class connection_pool {
public:
    connection_pool(net::io_context& context, const cw_address& target)
        : context_{context},
          target_{target} {}

    net::awaitable<std::unique_ptr<stream>> acquire() {
        if (!idle_connections_.empty()) {
            auto connection = std::move(idle_connections_.back());
            idle_connections_.pop_back();
            co_return connection;
        }
        auto connection = std::make_unique<stream>(context_);
        boost::system::error_code failure;
        co_await connection->async_connect(target_.tcp(), cw_redirect_error(failure));
        connection->socket().set_option(net::ip::tcp::no_delay{true}, failure);
        co_return connection;
    }

    void release(std::unique_ptr<stream> connection) {
        idle_connections_.push_back(std::move(connection));
    }

private:
    net::io_context& context_;
    cw_address target_;
    std::vector<std::unique_ptr<stream>> idle_connections_;
};

net::awaitable<void> forward_requests(net::ip::tcp::socket socket, connection_pool& upstreams) {
    stream caller{std::move(socket)};
    boost::beast::flat_buffer buffer;
    boost::system::error_code failure;
    while (!failure) {
        cw_http_request request;
        co_await http::async_read(caller, buffer, request, cw_redirect_error(failure));
        if (failure) {
            break;
        }
        auto upstream = co_await upstreams.acquire();
        co_await http::async_write(*upstream, request, cw_redirect_error(failure));
        boost::beast::flat_buffer answer_buffer;
        cw_http_response answer;
        if (!failure) {
            co_await http::async_read(*upstream, answer_buffer, answer, cw_redirect_error(failure));
        }
        if (!failure) {
            upstreams.release(std::move(upstream));
            co_await http::async_write(caller, answer, cw_redirect_error(failure));
        }
    }
}

net::awaitable<void> accept_connections(net::ip::tcp::acceptor& acceptor, net::io_context& context,
                                        connection_pool& upstreams) {
    while (true) {
        boost::system::error_code failure;
        auto socket = co_await acceptor.async_accept(cw_redirect_error(failure));
        if (!failure) {
            socket.set_option(net::ip::tcp::no_delay{true}, failure);
            net::co_spawn(context, forward_requests(std::move(socket), upstreams), net::detached);
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto listen = argc == 3 ? cw_address::parse(argv[1]) : std::nullopt;
    const auto target = argc == 3 ? cw_address::parse(argv[2]) : std::nullopt;
    if (!listen || !target) {
        std::cerr << "usage: cw_bare_proxy LISTEN-IP:PORT UPSTREAM-IP:PORT\n";
        return EXIT_FAILURE;
    }
    net::io_context context{1};
    net::ip::tcp::acceptor acceptor{context, listen->tcp()};
    connection_pool upstreams{context, *target};
    net::co_spawn(context, accept_connections(acceptor, context, upstreams), net::detached);
    context.run();
}
