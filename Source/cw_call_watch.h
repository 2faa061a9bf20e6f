#pragma once

#include "cw_caller_watch.h"
#include "cw_socket_timeout.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

/// Cancels what a request waits for when its caller leaves, when its answer cannot be delivered, or
/// when its deadline passes.
class cw_call_watch {
public:
    cw_call_watch(boost::asio::io_context& context, std::shared_ptr<cw_caller_watch> caller);
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

    /// True when the caller's disconnect has been detected, or the request was cancelled.
    [[nodiscard]] bool has_caller_left() const { return caller_->has_ended(); }
    /// The same after polling the caller's socket: when this host is overloaded, the disconnect may
    /// have arrived before its event is handled.
    [[nodiscard]] bool poll_caller_left() { return caller_->poll(); }
    /// True when the socket was closed because the deadline of the last watch_socket() passed.
    [[nodiscard]] bool has_timed_out() const { return timeout_.has_expired(); }

private:
    friend class cw_caller_watch;

    /// Closes the watched socket and ends the current sleep.
    void end();

    std::shared_ptr<cw_caller_watch> caller_;
    std::list<cw_call_watch*>::iterator position_;
    boost::asio::ip::tcp::socket* upstream_ = nullptr;
    cw_socket_timeout timeout_;
    boost::asio::steady_timer sleep_timer_;
};
