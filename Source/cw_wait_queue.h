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
    class ticket {
    public:
        explicit ticket(cw_wait_queue& queue)
            : queue_{queue},
              place_{queue.places_.insert(queue.places_.end(),
                                          boost::asio::steady_timer{queue.context_})} {}
        ~ticket() {
            queue_.places_.erase(place_);
            // Whoever is first now has not been told of what this one left unused.
            queue_.wake();
        }
        ticket(const ticket&) = delete;
        ticket& operator=(const ticket&) = delete;

        [[nodiscard]] bool is_first() const { return place_ == queue_.places_.begin(); }
        /// Returns at the moment given, or sooner when this place becomes the first or is woken.
        boost::asio::awaitable<void> wait(cw_time_point until) {
            place_->expires_at(until);
            boost::system::error_code failure;
            co_await place_->async_wait(cw_redirect_error(failure));
        }

    private:
        cw_wait_queue& queue_;
        std::list<boost::asio::steady_timer>::iterator place_;
    };

    /// Lets the first in the queue look again.
    void wake() {
        if (!places_.empty()) {
            places_.front().cancel();
        }
    }
    /// Lets all in the queue look again, and find that nobody will be served any more.
    void close() {
        closed_ = true;
        for (auto& place : places_) {
            place.cancel();
        }
    }
    [[nodiscard]] bool is_closed() const { return closed_; }
    [[nodiscard]] std::size_t size() const { return places_.size(); }
    [[nodiscard]] bool empty() const { return places_.empty(); }

private:
    boost::asio::io_context& context_;
    std::list<boost::asio::steady_timer> places_;
    bool closed_ = false;
};
