#pragma once

#include "cw_socket_alarm.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

/// Ends what a call waits for when its caller goes away or its time is up.
///
/// Bytes that the caller sends meanwhile, such as requests behind the present one, are taken into a
/// buffer, up to a bound; beyond it the caller's end is noticed only when the answer is written.
class cw_call_watch {
public:
    /// Watches the caller until the watch is destroyed. No other operation may wait on its socket
    /// or use the buffer, which outlives the watch.
    cw_call_watch(boost::asio::io_context& context, boost::asio::ip::tcp::socket& caller,
                  boost::beast::flat_buffer& ahead);
    ~cw_call_watch();
    cw_call_watch(const cw_call_watch&) = delete;
    cw_call_watch& operator=(const cw_call_watch&) = delete;

    /// From now on closes this socket at the deadline or when the caller goes away.
    void guard(boost::asio::ip::tcp::socket& upstream, cw_time_point deadline);
    /// Guards no socket any more.
    void release();
    /// Returns at the moment given, or when the caller goes away, or after wake().
    boost::asio::awaitable<void> pause_until(cw_time_point until);
    void wake();

    [[nodiscard]] bool has_caller_left() const;
    /// The same, after a look at the connection: its end may have arrived and not been heard yet
    /// when this host is behind with its work.
    [[nodiscard]] bool look_whether_caller_left();
    /// True when the deadline of the last guard() has ended an operation.
    [[nodiscard]] bool is_expired() const { return alarm_.has_gone_off(); }

private:
    struct state;

    std::shared_ptr<state> state_;
    boost::asio::ip::tcp::socket& caller_;
    cw_socket_alarm alarm_;
    boost::asio::steady_timer pause_;
};
