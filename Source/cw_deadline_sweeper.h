#pragma once

#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <list>

/// Cancels socket operations that have passed their deadlines, or whose caller has gone away, for
/// all connections of one thread.
///
/// A timer per operation costs more than the operation itself, and so does a wait for the caller's
/// end; one sweep every few milliseconds over the operations that wait costs next to nothing and is
/// exact enough for requests.
class cw_deadline_sweeper {
    struct watched_operation {
        boost::asio::ip::tcp::socket* socket;
        cw_time_point deadline;
        /// The caller's connection, while its end makes the operation pointless.
        boost::asio::ip::tcp::socket* caller;
        boost::beast::flat_buffer* pipelined;
        bool caller_left;
    };

public:
    explicit cw_deadline_sweeper(boost::asio::io_context& context)
        : timer_{context} {}

    /// Watches a socket's operations for as long as it lives.
    class guard {
    public:
        guard(cw_deadline_sweeper& sweeper, boost::asio::ip::tcp::socket& socket,
              cw_time_point deadline)
            : operations_{sweeper.operations_},
              position_{operations_.insert(
                  operations_.end(),
                  watched_operation{&socket, deadline, nullptr, nullptr, false})} {}
        ~guard() { operations_.erase(position_); }
        guard(const guard&) = delete;
        guard& operator=(const guard&) = delete;

        /// Moves the deadline, for the next of several operations.
        void extend(cw_time_point deadline) { position_->deadline = deadline; }
        /// Cancels also when the caller goes away. Bytes that it sends meanwhile, such as a
        /// pipelined request, are taken into the buffer, which outlives the guard.
        void watch_caller(boost::asio::ip::tcp::socket& caller,
                          boost::beast::flat_buffer& pipelined) {
            position_->caller = &caller;
            position_->pipelined = &pipelined;
        }
        void unwatch_caller() { position_->caller = nullptr; }
        /// True when the caller went away and the operation was cancelled.
        [[nodiscard]] bool has_caller_left() const { return position_->caller_left; }

    private:
        std::list<watched_operation>& operations_;
        std::list<watched_operation>::iterator position_;
    };

    /// Sweeps until close() is called.
    boost::asio::awaitable<void> run();
    /// Closes all watched sockets, which ends what waits on them.
    void close();

private:
    void cancel_abandoned();

    boost::asio::steady_timer timer_;
    std::list<watched_operation> operations_;
    bool closed_ = false;
};
