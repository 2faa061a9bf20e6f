#pragma once

#include <cstdint>
#include <string>

/// A service to which a share of a route's requests goes.
struct cw_site_part {
    std::string service;
    /// Share of the requests, relative to the other parts of the route.
    std::uint32_t weight = 1;
};
