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

/// Selects the upstream for the next attempt of a gateway's request, or the reason to refuse it.
///
/// A request with a key goes to the key's owner, which may be moving; the selector waits for a
/// settled owner for part of the time that is left. A request that the upstream would probably not
/// answer in time is refused at once, and so is one to an upstream whose Retry-After time or shed
/// backoff is in effect. This keeps the owner of popular keys from being overloaded.
class cw_gateway_upstream_selector {
public:
    cw_gateway_upstream_selector(cw_gateway_traffic& traffic, cw_call_watch& watch)
        : traffic_{traffic},
          watch_{watch} {}

    /// Sets the exchange's upstream. Returns false when the request is refused; the exchange then
    /// holds the reason and the retry-after time.
    boost::asio::awaitable<bool> select(cw_gateway_exchange& current);

private:
    using milliseconds = std::chrono::milliseconds;

    /// Selects an upstream of a service without keys.
    bool select_any(cw_gateway_exchange& current);
    /// Sets the reason and the retry-after time of a request that is refused because of an
    /// evacuation.
    void refuse_for_evacuation(cw_gateway_exchange& current, const char* reason);
    /// Refreshes the exchange's view and returns the settled owner of the request's key, whose
    /// fence it sets in the exchange. Null when the key is moving, the owner is not listed or is in
    /// an evacuated failure domain, or it has refused this request as not its own under the same
    /// fence.
    const cw_upstream_entry* find_settled_owner(cw_gateway_exchange& current);
    /// Sets the owner of the request's key as the upstream, waiting for a settled one, and for one
    /// that is cold to admit the request. Returns false when there is none in time or the caller
    /// has left.
    boost::asio::awaitable<bool> wait_for_owner(cw_gateway_exchange& current);
    /// Time left of an upstream's shed backoff; 0 when none is in effect.
    milliseconds shed_backoff_left(const cw_upstream_entry& upstream);
    /// Time until the upstream accepts requests again after its Retry-After, and until it probably
    /// does within its limited rate or while it is cold; 0 when it does now.
    milliseconds retry_delay_of(const cw_upstream_entry& upstream);
    /// Time until a cold upstream probably takes a request, within limits; 0 when it does now.
    milliseconds cold_retry_delay(const cw_upstream_entry& upstream);
    /// Counts a request for which no upstream is left, and sets the reason, if an upstream that it
    /// has not tried is cold and admits no request now.
    void refuse_if_cold(cw_gateway_exchange& current,
                        const std::vector<cw_upstream_entry>& upstreams);
    /// Sets the exchange's retry-after time to the shortest retry delay of the given upstreams, if
    /// any of them has one.
    void set_earliest_retry_after(cw_gateway_exchange& current,
                                  const std::vector<cw_upstream_entry>& upstreams);
    /// True if the upstream's limited rate, if any, allows a request of this host now.
    bool is_admitted(const cw_upstream_entry& upstream);
    /// False, with the reason and the retry-after time, when the selected upstream does not accept
    /// requests now or would probably not answer in time.
    ///
    /// The limit is the route's target time, and the deadline once the target has passed. Letting
    /// the queue grow beyond the target would make every answer late without increasing the number
    /// of answers.
    bool accepts_request(cw_gateway_exchange& current);

    cw_gateway_traffic& traffic_;
    cw_call_watch& watch_;
    /// True if find_settled_owner() has passed over an owner because of an evacuation.
    bool is_owner_evacuated_ = false;
};
