#include "cw_traffic_thread.h"

#include "cw_async.h"
#include "cw_proxy_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace net = boost::asio;

namespace {
using namespace std::chrono_literals;
constexpr auto max_shutdown_time = 2s;
constexpr auto shutdown_poll_interval = 1ms;
using reuse_port = net::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
} // namespace

cw_traffic_thread::cw_traffic_thread(cw_router_shared& shared, const cw_address& address,
                                     bool adaptive_limits)
    : traffic_{context_, shared, adaptive_limits},
      acceptor_{context_} {
    acceptor_.open(address.tcp().protocol());
    acceptor_.set_option(net::ip::tcp::acceptor::reuse_address{true});
    acceptor_.set_option(reuse_port{true});
    acceptor_.bind(address.tcp());
    acceptor_.listen();
}

cw_traffic_thread::~cw_traffic_thread() {
    stop();
}

void cw_traffic_thread::start() {
    net::co_spawn(context_, accept(), net::detached);
    net::co_spawn(context_, traffic_.sweeper.run(), net::detached);
    thread_ = std::jthread{[this] { context_.run(); }};
}

void cw_traffic_thread::stop_accepting() {
    net::post(context_, [this] { acceptor_.close(); });
}

void cw_traffic_thread::stop() {
    if (!thread_.joinable()) {
        return;
    }
    // A session that is still there when the context is destroyed would be destroyed after the
    // members that it refers to, so all sessions are ended first.
    net::post(context_, [this] {
        acceptor_.close();
        traffic_.sweeper.close();
        traffic_.limiters.close();
    });
    const auto until = std::chrono::steady_clock::now() + max_shutdown_time;
    while (!context_.stopped() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(shutdown_poll_interval);
    }
    context_.stop();
    thread_.join();
}

net::awaitable<void> cw_traffic_thread::accept() {
    while (acceptor_.is_open()) {
        boost::system::error_code failure;
        auto socket = co_await acceptor_.async_accept(cw_redirect_error(failure));
        if (failure) {
            continue;
        }
        socket.set_option(net::ip::tcp::no_delay{true}, failure);
        auto session = std::make_unique<cw_proxy_session>(traffic_, std::move(socket));
        net::co_spawn(context_, cw_proxy_session::run(std::move(session)), net::detached);
    }
}
