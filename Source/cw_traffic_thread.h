#pragma once

#include "cw_address.h"
#include "cw_traffic_context.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <thread>

/// A router thread that serves callers, with an acceptor of its own on the shared port
/// (SO_REUSEPORT); the kernel distributes the callers' connections over all of them.
class cw_traffic_thread {
public:
    /// Binds and listens; throws boost::system::system_error when the address is in use.
    cw_traffic_thread(cw_router_shared& shared, const cw_address& address, bool adaptive_limits);
    ~cw_traffic_thread();

    /// Starts the thread and accepts callers.
    void start();
    /// Stops accepting callers; sessions continue. Safe to call from any thread.
    void stop_accepting();
    /// Closes all connections, waits up to 2 s for their sessions to end, and joins the thread.
    void stop();
    [[nodiscard]] cw_traffic_context& traffic() { return traffic_; }

private:
    boost::asio::awaitable<void> accept();

    boost::asio::io_context context_{1};
    cw_traffic_context traffic_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::jthread thread_;
};
