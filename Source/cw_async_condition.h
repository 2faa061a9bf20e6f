#pragma once

#include "cw_async.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

/// Condition variable for coroutines of one thread.
///
/// Each waiter has a timer of its own, because setting the expiry time of a shared timer would wake
/// all waiters.
class cw_async_condition {
public:
    explicit cw_async_condition(boost::asio::io_context& context)
        : context_{context} {}

    /// Returns at `until`, or sooner after notify_all(). The caller checks its condition again.
    boost::asio::awaitable<void> wait(cw_time_point until) {
        const auto waiter =
            waiters_.insert(waiters_.end(), boost::asio::steady_timer{context_, until});
        boost::system::error_code failure;
        co_await waiter->async_wait(cw_redirect_error(failure));
        waiters_.erase(waiter);
    }

    void notify_all() {
        for (auto& waiter : waiters_) {
            waiter.cancel();
        }
    }

private:
    boost::asio::io_context& context_;
    std::list<boost::asio::steady_timer> waiters_;
};
