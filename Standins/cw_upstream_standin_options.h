#pragma once

#include "cw_address.h"

#include <chrono>
#include <cstdint>
#include <string>

/// Options of the upstream stand-in.
struct cw_upstream_standin_options {
    std::string id;
    cw_address listen;
    /// Whether keys have owners; without owners every request is accepted.
    bool is_keyed = true;
    /// Whether leases with a lower fence than the current one are rejected.
    bool checks_fences = true;
    /// Maximum number of concurrent requests.
    std::uint32_t slots = 3;
    /// Execution time of one request.
    std::chrono::milliseconds work_time{2};
    /// Time after the start during which requests run ten times as long.
    std::chrono::milliseconds cold_time{0};
    /// A request whose path contains this text crashes the process; empty for none.
    std::string crash_substring;
};
