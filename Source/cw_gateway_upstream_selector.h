#pragma once

#include "cw_boot_clock.h"
#include "cw_time.h"
#include "cw_upstream_entry.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <vector>

class cw_call_watch;
class cw_gateway_traffic;
struct cw_gateway_exchange;

/// Finds the upstream for the next attempt of one caller's request, or the reason to refuse it.
///
/// The loads that it answers: popular keys whose owner is full, keys that are moving, and upstreams
/// that want no requests for a while. What would not be done in time is refused at once.
class cw_gateway_upstream_selector {
public:
    cw_gateway_upstream_selector(cw_gateway_traffic& traffic, cw_call_watch& watch)
        : traffic_{traffic},
          watch_{watch} {}

    /// Sets the upstream; false, with the reason and when to come back, when there is none.
    boost::asio::awaitable<bool> select(cw_gateway_exchange& current);

private:
    using milliseconds = std::chrono::milliseconds;

    bool select_any(cw_gateway_exchange& current);
    /// The settled owner of the request's key, which has not just said that it is not the owner.
    const cw_upstream_entry* find_settled_owner(cw_gateway_exchange& current);
    boost::asio::awaitable<bool> wait_for_owner(cw_gateway_exchange& current);
    /// Time for which an upstream is still left alone because it sheds requests.
    milliseconds shed_backoff_left(const cw_upstream_entry& upstream);
    /// Time for which an upstream still wants no request.
    milliseconds retry_delay_of(const cw_upstream_entry& upstream);
    /// The soonest moment at which an upstream of the service takes requests again, if all that are
    /// left want none for a while.
    void set_earliest_retry_after(cw_gateway_exchange& current,
                                  const std::vector<cw_upstream_entry>& upstreams);
    /// False when the upstream would probably not be done in time.
    ///
    /// Time is the route's target until that has passed: a queue that is longer makes every answer
    /// late and not one more of them possible.
    bool can_answer_in_time(cw_gateway_exchange& current);

    cw_gateway_traffic& traffic_;
    cw_call_watch& watch_;
};
