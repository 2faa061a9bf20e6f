#pragma once

#include "cw_boot_clock.h"
#include "cw_call_deadlines.h"
#include "cw_error.h"
#include "cw_feed_times.h"
#include "cw_lag_guard.h"

#include <chrono>

/// Time limits of a feed's call to the store, and what its end shows.
class cw_feed_call {
public:
    using milliseconds = std::chrono::milliseconds;

    /// A call that is sent now, and that the store may hold open for up to `wait`.
    explicit cw_feed_call(milliseconds wait = milliseconds{0})
        : wait_{wait},
          sent_at_{cw_boot_clock::now()} {}

    [[nodiscard]] milliseconds wait() const { return wait_; }
    [[nodiscard]] cw_boot_time sent_at() const { return sent_at_; }

    /// Deadlines, from now, of a response that may take `grace` beyond the wait.
    [[nodiscard]] cw_call_deadlines deadlines(milliseconds grace) const;
    /// Deadlines, from now, of a read that is made because a copy lags.
    [[nodiscard]] static cw_call_deadlines
    lagging_read_deadlines(milliseconds timeout = cw_feed_times::store_timeout);

    /// Moment as of which an answer that comes now is complete. The store has held the call open
    /// for the wait only if the answer brings no change.
    [[nodiscard]] cw_boot_time current_as_of(bool has_change) const;

    /// How the call has ended if this comes of it now.
    template <typename Change>
    [[nodiscard]] cw_lag_read_result result(const cw_result<Change>& change) const {
        return change ? cw_lag_read_result::answered : result_of_failure(change.error());
    }

private:
    [[nodiscard]] cw_lag_read_result result_of_failure(const cw_error& error) const;

    milliseconds wait_;
    cw_boot_time sent_at_;
};
