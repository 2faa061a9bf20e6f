#pragma once

#include <string>

/// Where a host of ours stands and what it can carry.
struct cw_host_info {
    /// Failure domain; empty when it is not known.
    std::string domain;
    /// "IP:port" at which it answers other hosts.
    std::string address;
    /// What it can carry beside traffic, in cores; see cw_gateway_options.
    double cpu_capacity = 0.0;

    friend bool operator==(const cw_host_info&, const cw_host_info&) = default;
};
