#pragma once

#include "cw_time.h"

#include <chrono>

/// Deadlines of a call over a connection that may have been reused.
struct cw_call_deadlines {
    /// When the first byte of the response is due. An open connection can have gone silent while a
    /// new one works, so a request on a reused connection is then sent once more on a new one.
    cw_time_point first_byte{};
    /// When the call ends, complete or not.
    cw_time_point complete{};
    /// Longest time without a further part of a response that has begun; the call ends then.
    std::chrono::milliseconds longest_pause = std::chrono::hours{1};
    /// True if the first byte is due then on a new connection, too. The peer then counts as silent,
    /// however long a response that has begun may take.
    bool is_first_byte_final = false;
};
