#pragma once

#include "cw_time.h"

#include <cstdint>
#include <string>

/// Outcome of a request, as the load tool saw it.
enum class cw_load_outcome {
    answered,
    did_not_run,
    unknown,
    /// No valid answer was received, or the connection broke.
    no_answer,
    /// A complete answer that belongs to another request or is shorter than requested.
    wrong_answer
};

/// Record of one request of the load tool.
struct cw_load_record {
    std::string request_id;
    std::uint32_t key = 0;
    bool is_post = false;
    /// Scheduled send time; latencies are measured from it.
    cw_time_point intended_at;
    cw_time_point finished_at{};
    cw_load_outcome outcome = cw_load_outcome::no_answer;
    std::string upstream;
};
