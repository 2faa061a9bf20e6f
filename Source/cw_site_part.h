#pragma once

#include <cstdint>
#include <string>

/// A share of a route's requests and the service that runs them.
struct cw_site_part {
    std::string service;
    /// Relative to the other parts of the route.
    std::uint32_t weight = 1;
};
