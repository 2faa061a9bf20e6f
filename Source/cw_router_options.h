#pragma once

#include "cw_address.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Validated settings of a router process.
struct cw_router_options {
    /// Id of this entry host.
    std::string host;
    /// Failure domain of this host.
    std::string domain;
    /// Address for callers.
    cw_address listen_address;
    /// Address for health, readiness and metrics requests.
    cw_address admin_address;
    /// HTTP addresses of keepers in order of preference; the keeper on this host comes first.
    std::vector<std::string> keeper_addresses;
    /// "IP:port" of the JSON-RPC interface of the keeper on this host.
    std::string keeper_rpc_address;
    /// Number of threads that serve callers.
    std::uint32_t threads = 1;
    /// Number of open requests above which further ones are refused; requests with lower priorities
    /// are refused earlier.
    std::uint32_t max_requests = 10'000;
    /// False for fixed concurrency limits per thread, without backoff or ejection.
    bool adaptive_limits = true;
    /// Time between reporting that the router is not ready and closing its listening sockets, in
    /// which the load balancer stops sending connections.
    std::chrono::milliseconds deregistration_delay{};
    /// Longest wait for requests in flight during shutdown.
    std::chrono::milliseconds drain_timeout{};
};
