#pragma once

#include <cstdint>
#include <string>

/// Notice of an upstream, given in a response, that it is shutting down.
struct cw_leaving_notice {
    std::string service;
    std::string id;
    std::uint64_t incarnation = 0;

    friend bool operator==(const cw_leaving_notice&, const cw_leaving_notice&) = default;
};
