#pragma once

#include "cw_time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

/// What a timeout does to its socket.
enum class cw_timeout_action {
    /// Cancels pending operations and shuts down the receiving side; an answer can still be
    /// written.
    stop_reading,
    /// Closes the socket. Needed to stop reading from a peer that sends without a pause: each read
    /// completes at once, so there is no pending operation to cancel.
    close
};

/// Ends a socket's operations at a deadline, which can be set again.
///
/// The timeout may be cleared, set again or destroyed while the handler of an expired timer is
/// already queued; that handler then does nothing.
class cw_socket_timeout {
public:
    explicit cw_socket_timeout(boost::asio::io_context& context);
    ~cw_socket_timeout();
    cw_socket_timeout(const cw_socket_timeout&) = delete;
    cw_socket_timeout& operator=(const cw_socket_timeout&) = delete;

    /// Starts the timeout and replaces the one that was set before. The socket must live until
    /// clear() or the next set().
    void set(boost::asio::ip::tcp::socket& socket, cw_time_point deadline,
             cw_timeout_action action = cw_timeout_action::stop_reading);
    /// Cancels the timeout.
    void clear();
    /// True when the timeout that was set last has expired.
    [[nodiscard]] bool has_expired() const;

private:
    struct state;

    std::shared_ptr<state> state_;
    boost::asio::steady_timer timer_;
};
