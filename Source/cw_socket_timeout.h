#pragma once

#include "cw_time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

/// What an alarm does to its socket.
enum class cw_timeout_action {
    /// Ends what is under way and takes no further bytes in; an answer can still be written.
    stop_reading,
    /// Closes it. The only way that also ends reading from a peer that sends without a pause: each
    /// of its reads is done before the alarm could cancel it.
    close
};

/// Ends the operations of a socket at a moment that may be moved.
///
/// The alarm may end, or be set anew, while its timer's handler is already on its way.
class cw_socket_timeout {
public:
    explicit cw_socket_timeout(boost::asio::io_context& context);
    ~cw_socket_timeout();
    cw_socket_timeout(const cw_socket_timeout&) = delete;
    cw_socket_timeout& operator=(const cw_socket_timeout&) = delete;

    /// Sets the alarm. The socket must live until clear() or the next set().
    void set(boost::asio::ip::tcp::socket& socket, cw_time_point deadline,
             cw_timeout_action action = cw_timeout_action::stop_reading);
    void clear();
    /// True when the alarm that was set last has gone off.
    [[nodiscard]] bool has_expired() const;

private:
    struct state;

    std::shared_ptr<state> state_;
    boost::asio::steady_timer timer_;
};
