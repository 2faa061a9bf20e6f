#pragma once

#include "cw_address.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Settings of one router process, checked.
struct cw_router_options {
    std::string host;
    std::string domain;
    /// Where callers connect.
    cw_address listen_address;
    /// Health, readiness and metrics.
    cw_address admin_address;
    /// HTTP addresses of keepers in order of preference; this host's own comes first.
    std::vector<std::string> keeper_addresses;
    /// "IP:port" of the own keeper's JSON-RPC interface.
    std::string keeper_rpc_address;
    std::uint32_t threads = 1;
    /// Requests in hand above which all are refused; lower priorities are refused earlier.
    std::uint32_t max_requests = 10'000;
    /// False for fixed limits per thread, without backoff or ejection.
    bool adaptive_limits = true;
    /// Time between the loss of readiness and the end of accepting, for the balancer to notice.
    std::chrono::milliseconds deregistration_delay{};
    /// Longest wait for requests in flight at stop.
    std::chrono::milliseconds drain_timeout{};
};
