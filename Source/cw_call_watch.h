#pragma once

#include "cw_socket_timeout.h"
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
                  boost::beast::flat_buffer& pipelined);
    ~cw_call_watch();
    cw_call_watch(const cw_call_watch&) = delete;
    cw_call_watch& operator=(const cw_call_watch&) = delete;

    /// From now on closes this socket at the deadline or when the caller goes away.
    void watch_socket(boost::asio::ip::tcp::socket& upstream, cw_time_point deadline);
    /// Guards no socket any more.
    void unwatch_socket();
    /// Returns at the moment given, or when the caller goes away, or after wake().
    boost::asio::awaitable<void> sleep_until(cw_time_point until);
    void wake();

    [[nodiscard]] bool has_caller_left() const;
    /// The same, after a look at the connection: its end may have arrived and not been heard yet
    /// when this host is behind with its work.
    [[nodiscard]] bool poll_caller_left();
    /// True when the deadline of the last guard() has ended an operation.
    [[nodiscard]] bool has_timed_out() const { return timeout_.has_expired(); }

private:
    struct state;

    std::shared_ptr<state> state_;
    boost::asio::ip::tcp::socket& caller_;
    cw_socket_timeout timeout_;
    boost::asio::steady_timer sleep_timer_;
};
