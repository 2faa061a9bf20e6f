#pragma once

#include "cw_concurrency_permit.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

struct cw_proxy_exchange;
struct cw_traffic_context;

/// Selects the upstream for a router's request and acquires a permit to send to it.
///
/// A request with a key goes to the key's owner. For a service without keys the upstreams are
/// ordered by expected wait; those of the router's own failure domain come first unless they are
/// much slower. Upstreams that are ejected or were already tried for this request are skipped while
/// at least half of the pool is left. When no permit is free the request waits in a FIFO queue;
/// it is refused at once when its expected wait exceeds its limit.
class cw_router_upstream_selector {
public:
    explicit cw_router_upstream_selector(cw_traffic_context& traffic)
        : traffic_{traffic} {}

    /// Sets the exchange's upstream address and acquires `permit` for it. Returns false when the
    /// request is refused; the exchange then holds the reason and the retry-after time.
    boost::asio::awaitable<bool> select(cw_proxy_exchange& current, cw_concurrency_permit& permit);

private:
    /// Upstream addresses in order of preference.
    [[nodiscard]] std::vector<std::string> candidates(const cw_proxy_exchange& current,
                                                      cw_time_point now);
    /// Acquires a permit for the first of the addresses that has one free, without waiting.
    bool acquire_permit(cw_proxy_exchange& current, const std::vector<std::string>& addresses,
                        cw_wait_queue& queue, cw_concurrency_permit& permit, cw_time_point now);

    cw_traffic_context& traffic_;
};
