#pragma once

#include "cw_attempt.h"
#include "cw_call_facts.h"
#include "cw_gateway_view.h"
#include "cw_http_message.h"
#include "cw_time.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

/// One caller's request on its way through a gateway.
struct cw_gateway_exchange {
    cw_http_request request;
    cw_call_facts metadata;
    /// What the last decision was made by.
    std::shared_ptr<const cw_gateway_view> view;
    /// Null until a route is found; lives in the first view's configuration.
    const cw_site_route* route = nullptr;
    std::shared_ptr<const cw_site_config> config;
    std::string service;
    cw_time_point started;
    cw_time_point deadline;
    cw_retry_state state;
    /// Requests sent to upstreams so far.
    std::uint32_t send_count = 0;
    /// Upstreams that could not be reached.
    std::uint32_t connect_failures = 0;
    /// The upstream of the present attempt.
    cw_upstream_entry upstream;
    /// The fence of the key's range; 0 for services without keys.
    std::uint64_t fence = 0;
    /// The fence under which the owner said that it does not hold the key; 0 for none.
    std::uint64_t refused_fence = 0;
    /// Ids of upstreams that an attempt has failed at.
    std::vector<std::string> failed_upstreams;
    /// The upstream's whole answer, or this gateway's own.
    cw_http_response answer;
    /// What an upstream or the network said last, for the caller and the log.
    std::string reason;
    /// When a refused caller should come back.
    std::chrono::milliseconds retry_after{300};
};
