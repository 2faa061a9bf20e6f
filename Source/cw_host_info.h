#pragma once

#include <string>

/// Location and capacity of a gateway host.
struct cw_host_info {
    /// Failure domain; empty if unknown.
    std::string domain;
    /// "IP:port" at which the host answers other hosts.
    std::string address;
    /// CPU capacity that the host has for work beside its traffic, in cores; see
    /// cw_gateway_options.
    double cpu_capacity = 0.0;
    /// True while calls of the host to the store fail.
    bool is_store_suspected = false;

    friend bool operator==(const cw_host_info&, const cw_host_info&) = default;
};
