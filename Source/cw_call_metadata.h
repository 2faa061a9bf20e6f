#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

/// Metadata of a caller's request in addition to its content, independent of the platform's
/// headers.
struct cw_call_metadata {
    /// Identifies this attempt of the caller; empty when the caller gave no id.
    std::string attempt_id;
    /// Time that the caller waits for the answer.
    std::optional<std::chrono::milliseconds> time_limit;
    /// Key of the request; decides which upstream owns it.
    std::optional<std::uint32_t> key;
};
