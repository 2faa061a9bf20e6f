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
    struct entry {
        boost::asio::ip::tcp::socket* socket;
        cw_time_point deadline;
        /// The caller's connection, while its end makes the operation pointless.
        boost::asio::ip::tcp::socket* caller;
        boost::beast::flat_buffer* ahead;
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
            : entries_{sweeper.entries_},
              place_{entries_.insert(entries_.end(),
                                     entry{&socket, deadline, nullptr, nullptr, false})} {}
        ~guard() { entries_.erase(place_); }
        guard(const guard&) = delete;
        guard& operator=(const guard&) = delete;

        /// Moves the deadline, for the next of several operations.
        void extend(cw_time_point deadline) { place_->deadline = deadline; }
        /// Cancels also when the caller goes away. Bytes that it sends meanwhile, such as a
        /// pipelined request, are taken into the buffer, which outlives the guard.
        void watch(boost::asio::ip::tcp::socket& caller, boost::beast::flat_buffer& ahead) {
            place_->caller = &caller;
            place_->ahead = &ahead;
        }
        void unwatch() { place_->caller = nullptr; }
        /// True when the caller went away and the operation was cancelled.
        [[nodiscard]] bool has_caller_left() const { return place_->caller_left; }

    private:
        std::list<entry>& entries_;
        std::list<entry>::iterator place_;
    };

    /// Sweeps until close() is called.
    boost::asio::awaitable<void> run();
    /// Closes all watched sockets, which ends what waits on them.
    void close();

private:
    void look_after_callers();

    boost::asio::steady_timer timer_;
    std::list<entry> entries_;
    bool closed_ = false;
};
