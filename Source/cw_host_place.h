#pragma once

#include <string>

/// Where a host of ours stands and what it can carry.
struct cw_host_place {
    /// Failure domain; empty when it is not known.
    std::string domain;
    /// "IP:port" at which it answers other hosts.
    std::string address;
    /// What it can carry beside traffic, in cores; see cw_gateway_options.
    double strength = 0.0;

    friend bool operator==(const cw_host_place&, const cw_host_place&) = default;
};
