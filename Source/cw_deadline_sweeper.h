#pragma once

#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <list>

/// Cancels socket operations of one thread that have passed their deadlines or whose caller has
/// left.
///
/// All pending operations are checked every few milliseconds, which is cheap and accurate enough
/// for requests. A timer for each operation would cost more than the operation itself, and so would
/// an asynchronous wait for the caller's disconnect.
class cw_deadline_sweeper {
    struct watched_socket {
        boost::asio::ip::tcp::socket* socket;
        cw_time_point deadline;
        /// The caller's connection, if its disconnect cancels the operation; else null.
        boost::asio::ip::tcp::socket* caller;
        boost::beast::flat_buffer* caller_buffer;
        bool caller_left;
    };

public:
    explicit cw_deadline_sweeper(boost::asio::io_context& context)
        : timer_{context} {}

    /// Applies a deadline to a socket's operations during the guard's lifetime.
    class guard {
    public:
        guard(cw_deadline_sweeper& sweeper, boost::asio::ip::tcp::socket& socket,
              cw_time_point deadline)
            : sockets_{sweeper.sockets_},
              position_{sockets_.insert(
                  sockets_.end(), watched_socket{&socket, deadline, nullptr, nullptr, false})} {}
        ~guard() { sockets_.erase(position_); }
        guard(const guard&) = delete;
        guard& operator=(const guard&) = delete;

        /// Replaces the deadline, for the next of several operations.
        void set_deadline(cw_time_point deadline) { position_->deadline = deadline; }
        /// Also cancels the operations when the caller leaves. Bytes that the caller sends
        /// meanwhile, such as a pipelined request, are read into the buffer. The caller's socket
        /// and the buffer must outlive the guard or stay valid until unwatch_caller().
        void watch_caller(boost::asio::ip::tcp::socket& caller,
                          boost::beast::flat_buffer& caller_buffer) {
            position_->caller = &caller;
            position_->caller_buffer = &caller_buffer;
        }
        void unwatch_caller() { position_->caller = nullptr; }
        /// True when an operation was cancelled because the caller left.
        [[nodiscard]] bool has_caller_left() const { return position_->caller_left; }

    private:
        std::list<watched_socket>& sockets_;
        std::list<watched_socket>::iterator position_;
    };

    /// Sweeps until close() is called.
    boost::asio::awaitable<void> run();
    /// Ends run() and closes all watched sockets, which ends their operations.
    void close();

private:
    /// Cancels the operations whose caller has left.
    void cancel_abandoned();

    boost::asio::steady_timer timer_;
    std::list<watched_socket> sockets_;
    bool closed_ = false;
};
