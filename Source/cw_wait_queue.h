#pragma once

#include "cw_async.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <list>

/// FIFO queue of coroutines of one thread that wait for a resource.
class cw_wait_queue {
public:
    explicit cw_wait_queue(boost::asio::io_context& context)
        : context_{context} {}

    /// One coroutine's entry in the queue, until the waiter is destroyed.
    class waiter {
    public:
        explicit waiter(cw_wait_queue& queue)
            : queue_{queue},
              position_{queue.waiters_.insert(queue.waiters_.end(),
                                              boost::asio::steady_timer{queue.context_})} {}
        ~waiter() {
            queue_.waiters_.erase(position_);
            // A notification that this waiter received but did not use goes to the next one.
            queue_.notify_first();
        }
        waiter(const waiter&) = delete;
        waiter& operator=(const waiter&) = delete;

        [[nodiscard]] bool is_first() const { return position_ == queue_.waiters_.begin(); }
        /// Returns at `until`, or sooner when this waiter becomes the first, is notified or the
        /// queue is closed.
        boost::asio::awaitable<void> wait(cw_time_point until) {
            position_->expires_at(until);
            boost::system::error_code failure;
            co_await position_->async_wait(cw_redirect_error(failure));
        }

    private:
        cw_wait_queue& queue_;
        std::list<boost::asio::steady_timer>::iterator position_;
    };

    /// Ends the current wait of the first waiter, which then checks again.
    void notify_first() {
        if (!waiters_.empty()) {
            waiters_.front().cancel();
        }
    }
    /// Ends all current waits permanently: the waiters check is_closed() and leave.
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
