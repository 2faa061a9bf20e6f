#pragma once

#include "cw_async.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <list>

/// Coroutines of one thread that wait for their turn, first come first served.
class cw_wait_queue {
public:
    explicit cw_wait_queue(boost::asio::io_context& context)
        : context_{context} {}

    /// A place in the queue; it is kept until the ticket ends.
    class waiter {
    public:
        explicit waiter(cw_wait_queue& queue)
            : queue_{queue},
              position_{queue.waiters_.insert(queue.waiters_.end(),
                                              boost::asio::steady_timer{queue.context_})} {}
        ~waiter() {
            queue_.waiters_.erase(position_);
            // Whoever is first now has not been told of what this one left unused.
            queue_.notify_first();
        }
        waiter(const waiter&) = delete;
        waiter& operator=(const waiter&) = delete;

        [[nodiscard]] bool is_first() const { return position_ == queue_.waiters_.begin(); }
        /// Returns at the moment given, or sooner when this place becomes the first or is woken.
        boost::asio::awaitable<void> wait(cw_time_point until) {
            position_->expires_at(until);
            boost::system::error_code failure;
            co_await position_->async_wait(cw_into(failure));
        }

    private:
        cw_wait_queue& queue_;
        std::list<boost::asio::steady_timer>::iterator position_;
    };

    /// Lets the first in the queue look again.
    void notify_first() {
        if (!waiters_.empty()) {
            waiters_.front().cancel();
        }
    }
    /// Lets all in the queue look again, and find that nobody will be served any more.
    void close() {
        closed_ = true;
        for (auto& timer : waiters_) {
            timer.cancel();
        }
    }
    [[nodiscard]] bool is_closed() const { return closed_; }
    [[nodiscard]] std::size_t size() const { return waiters_.size(); }
    [[nodiscard]] bool empty() const { return waiters_.empty(); }

private:
    boost::asio::io_context& context_;
    std::list<boost::asio::steady_timer> waiters_;
    bool closed_ = false;
};
