#pragma once

#include "cw_time.h"

#include <cstdint>
#include <string>

/// How one request of the load tool ended, as its caller saw it.
enum class cw_load_outcome {
    answered,
    did_not_run,
    unknown,
    /// No answer that can be read, or a broken connection.
    no_answer,
    /// A whole answer that belongs to another request, or one of the wrong length.
    wrong_answer
};

/// One request of the load tool.
struct cw_load_record {
    std::string request_id;
    std::uint32_t key = 0;
    bool is_post = false;
    cw_time_point intended_at;
    cw_time_point finished_at{};
    cw_load_outcome outcome = cw_load_outcome::no_answer;
    std::string upstream;
};
