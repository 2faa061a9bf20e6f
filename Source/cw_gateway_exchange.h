#pragma once

#include "cw_attempt.h"
#include "cw_buffer_budget.h"
#include "cw_call_metadata.h"
#include "cw_gateway_view.h"
#include "cw_http_message.h"
#include "cw_time.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

/// One caller's request with its response, and the state of its processing in a gateway.
struct cw_gateway_exchange {
    cw_http_request request;
    cw_call_metadata metadata;
    /// View from which the last decision was made.
    std::shared_ptr<const cw_gateway_view> view;
    /// Null until a route is found; points into `config`.
    const cw_site_route* route = nullptr;
    std::shared_ptr<const cw_site_config> config;
    std::string service;
    cw_time_point started;
    /// Requests of the same connection that were in progress when this one started.
    std::size_t beside = 0;
    cw_time_point deadline;
    cw_retry_state state;
    /// Number of times that the request has been sent to an upstream.
    std::uint32_t send_count = 0;
    /// Number of attempts without a connection, for services without keys.
    std::uint32_t connect_failures = 0;
    /// Upstream of the current attempt.
    cw_upstream_entry upstream;
    /// Ids of the upstreams to which the request has been sent.
    std::vector<std::string> sent_to;
    /// Fence of the key's range; 0 for services without keys.
    std::uint64_t fence = 0;
    /// Fence under which the owner answered that it does not hold the key; 0 for none.
    std::uint64_t refused_fence = 0;
    /// Ids of the upstreams at which an attempt has failed.
    std::vector<std::string> failed_upstreams;
    /// Memory of the answer that is being received or written; null for the gateway's own.
    std::unique_ptr<cw_buffer_budget::buffer> answer_buffer;
    /// The complete answer of the upstream, or the gateway's own.
    cw_http_response answer;
    /// Reason of the last failure, for the caller and the log.
    std::string reason;
    /// Retry-after time for a refused caller.
    std::chrono::milliseconds retry_after{300};
};
