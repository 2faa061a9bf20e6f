#pragma once

#include "cw_connection_pool.h"
#include "cw_deadline_sweeper.h"
#include "cw_limiter_set.h"
#include "cw_retry_budget.h"
#include "cw_router_metrics.h"

#include <boost/asio/io_context.hpp>

class cw_router_shared;

/// State shared by the sessions of one traffic thread of a router. Traffic means the callers'
/// requests, as opposed to control messages.
struct cw_traffic_context {
    cw_traffic_context(boost::asio::io_context& io, cw_router_shared& state, bool adaptive_limits)
        : context{io},
          shared{state},
          pool{io},
          sweeper{io},
          limiters{io, adaptive_limits} {}

    boost::asio::io_context& context;
    cw_router_shared& shared;
    cw_connection_pool pool;
    cw_deadline_sweeper sweeper;
    cw_limiter_set limiters;
    cw_router_metrics metrics;
    cw_retry_budget retry_budget;
};
