#pragma once

#include <string>

/// Id, failure domain and address of an upstream.
struct cw_upstream_location {
    std::string id;
    /// Failure domain of the upstream.
    std::string domain;
    /// "IP:port" of its HTTP interface.
    std::string address;

    friend bool operator==(const cw_upstream_location&, const cw_upstream_location&) = default;
};
