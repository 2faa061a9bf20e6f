#pragma once

#include "cw_time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

/// Cancels the operations of a socket at a moment that may be moved.
///
/// The alarm may end, or be set anew, while its timer's handler is already on its way.
class cw_socket_alarm {
public:
    explicit cw_socket_alarm(boost::asio::io_context& context);
    ~cw_socket_alarm();
    cw_socket_alarm(const cw_socket_alarm&) = delete;
    cw_socket_alarm& operator=(const cw_socket_alarm&) = delete;

    /// Sets the alarm. The socket must live until clear() or the next set().
    void set(boost::asio::ip::tcp::socket& socket, cw_time_point deadline);
    void clear();
    /// True when the alarm that was set last has gone off.
    [[nodiscard]] bool has_gone_off() const;

private:
    struct state;

    std::shared_ptr<state> state_;
    boost::asio::steady_timer timer_;
};
