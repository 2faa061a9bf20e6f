#pragma once

#include "cw_concurrency_permit.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

struct cw_proxy_exchange;
struct cw_traffic_context;

/// Finds a place for a request at an upstream: the owner of its key, or the fittest of a service
/// without keys.
///
/// Of several, those of the own failure domain go first unless they are much slower; ejected ones
/// and ones already tried are passed over while others are left. When no place is free the request
/// waits its turn, unless it would wait longer than it may: then it is refused at once.
class cw_router_upstream_selector {
public:
    explicit cw_router_upstream_selector(cw_traffic_context& traffic)
        : traffic_{traffic} {}

    /// Sets the exchange's address and takes a place there; false, with the reason and when to come
    /// back, when the request is refused.
    boost::asio::awaitable<bool> select(cw_proxy_exchange& current, cw_concurrency_permit& permit);

private:
    /// Candidates in order of preference.
    [[nodiscard]] std::vector<std::string> candidates(const cw_proxy_exchange& current,
                                                      cw_time_point now);
    bool acquire_permit(cw_proxy_exchange& current, const std::vector<std::string>& addresses,
                        cw_wait_queue& queue, cw_concurrency_permit& permit, cw_time_point now);

    cw_traffic_context& traffic_;
};
