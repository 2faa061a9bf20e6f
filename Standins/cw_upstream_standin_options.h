#pragma once

#include "cw_address.h"

#include <chrono>
#include <cstdint>
#include <string>

/// How the upstream stand-in behaves.
struct cw_upstream_standin_options {
    std::string id;
    cw_address listen;
    bool is_keyed = true;
    bool checks_fences = true;
    std::uint32_t slots = 3;
    /// Time that one request runs.
    std::chrono::milliseconds work_time{2};
    /// Time after start during which requests run ten times as long.
    std::chrono::milliseconds cold_time{0};
    /// A request whose path holds this word crashes the process; empty for none.
    std::string crash_substring;
};
