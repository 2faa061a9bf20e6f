#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

/// What a caller's request says about itself.
struct cw_call_metadata {
    /// Names this attempt of the caller; empty when it has no name.
    std::string attempt_id;
    /// How long the caller will wait.
    std::optional<std::chrono::milliseconds> time_limit;
    /// The key that the request is about.
    std::optional<std::uint32_t> key;
};
