#pragma once

#include "cw_attempt.h"
#include "cw_concurrency_limiter.h"
#include "cw_time.h"
#include "cw_wait_queue.h"

#include <utility>

/// Permission for one request to an upstream. The limiter counts the request as in flight while the
/// permit is held.
///
/// Held from before the request is sent until its attempt has ended. A default constructed permit
/// holds nothing. Destroying a permit that was not released counts as `caller_left`.
class cw_concurrency_permit {
public:
    cw_concurrency_permit() = default;
    cw_concurrency_permit(cw_concurrency_limiter& limiter, cw_wait_queue& queue, cw_time_point now)
        : limiter_{&limiter},
          queue_{&queue},
          acquired_at_{now} {
        limiter.on_sent(now);
    }
    ~cw_concurrency_permit() { release(cw_attempt_result::caller_left, acquired_at_); }
    cw_concurrency_permit(const cw_concurrency_permit&) = delete;
    cw_concurrency_permit& operator=(const cw_concurrency_permit&) = delete;
    cw_concurrency_permit(cw_concurrency_permit&& other) noexcept
        : limiter_{std::exchange(other.limiter_, nullptr)},
          queue_{other.queue_},
          acquired_at_{other.acquired_at_} {}
    cw_concurrency_permit& operator=(cw_concurrency_permit&& other) noexcept {
        std::swap(limiter_, other.limiter_);
        std::swap(queue_, other.queue_);
        std::swap(acquired_at_, other.acquired_at_);
        return *this;
    }

    /// Reports the result to the limiter and notifies the first waiter of the queue. Does nothing
    /// when the permit holds nothing.
    void release(cw_attempt_result result, cw_time_point now) {
        if (limiter_ != nullptr) {
            limiter_->on_result(result, now - acquired_at_, now);
            limiter_ = nullptr;
            queue_->notify_first();
        }
    }

private:
    cw_concurrency_limiter* limiter_ = nullptr;
    cw_wait_queue* queue_ = nullptr;
    cw_time_point acquired_at_{};
};
