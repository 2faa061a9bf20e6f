#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

/// What a host reports about an upstream that limits the requests it takes from all hosts together.
struct cw_limit_report {
    std::string id;
    std::uint64_t incarnation = 0;
    /// Requests per second; none if the upstream has stopped naming a limit.
    std::optional<double> limit;
    /// Time since the latest answer of the upstream that said so.
    std::chrono::milliseconds age{0};
    /// Requests that the host had for the upstream since its last report, refused ones included.
    std::uint32_t wanted = 0;
};
