#pragma once

#include "cw_address.h"
#include "cw_traffic_context.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <thread>

/// One traffic thread with an acceptor of its own; the kernel spreads callers over all of them.
class cw_traffic_thread {
public:
    /// Binds at once; throws boost::system::system_error when the address is taken.
    cw_traffic_thread(cw_router_shared& shared, const cw_address& address, bool adaptive_limits);
    ~cw_traffic_thread();

    void start();
    /// Accepts no more callers.
    void stop_accepting();
    /// Closes all connections, waits for their sessions to end, and ends the thread.
    void stop();
    [[nodiscard]] cw_traffic_context& traffic() { return traffic_; }

private:
    boost::asio::awaitable<void> accept();

    boost::asio::io_context context_{1};
    cw_traffic_context traffic_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::jthread thread_;
};
