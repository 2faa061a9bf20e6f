#pragma once

#include "cw_address.h"
#include "cw_timings.h"

#include <cstdint>
#include <string>

/// Validated settings of one keeper process.
struct cw_keeper_options {
    std::string host;
    std::string domain;
    /// Address for HTTP (TCP) and peer messages (UDP).
    cw_address listen;
    std::uint16_t rpc_port = 0;
    /// "IP:port" of the platform's store and host list.
    std::string platform;
    cw_timings timings;
};
