#pragma once

#include "cw_socket_timeout.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

/// Cancels what a request waits for when its caller closes the connection or its deadline passes.
///
/// Bytes that the caller sends meanwhile, such as pipelined requests, are read into a buffer of up
/// to `cw_max_pipelined_bytes`. Once the buffer is full the caller's disconnect is detected only
/// when the answer is written.
class cw_call_watch {
public:
    /// Watches the caller until the watch is destroyed. Meanwhile no other operation may wait on
    /// the caller's socket or use the buffer; both must outlive the watch.
    cw_call_watch(boost::asio::io_context& context, boost::asio::ip::tcp::socket& caller,
                  boost::beast::flat_buffer& caller_buffer);
    ~cw_call_watch();
    cw_call_watch(const cw_call_watch&) = delete;
    cw_call_watch& operator=(const cw_call_watch&) = delete;

    /// From now on closes `upstream` at the deadline or when the caller leaves. Replaces the socket
    /// that was watched before.
    void watch_socket(boost::asio::ip::tcp::socket& upstream, cw_time_point deadline);
    /// Stops watching the socket, without closing it.
    void unwatch_socket();
    /// Returns at `until`, or sooner when the caller leaves or wake() is called.
    boost::asio::awaitable<void> sleep_until(cw_time_point until);
    /// Ends the current sleep_until().
    void wake();

    /// True when the caller's disconnect has been detected.
    [[nodiscard]] bool has_caller_left() const;
    /// The same after polling the caller's socket: when this host is overloaded, the disconnect may
    /// have arrived before its event is handled.
    [[nodiscard]] bool poll_caller_left();
    /// True when the socket was closed because the deadline of the last watch_socket() passed.
    [[nodiscard]] bool has_timed_out() const { return timeout_.has_expired(); }

private:
    struct state;

    std::shared_ptr<state> state_;
    boost::asio::ip::tcp::socket& caller_;
    cw_socket_timeout timeout_;
    boost::asio::steady_timer sleep_timer_;
};
