#pragma once

#include "cw_boot_clock.h"

#include <cstdint>
#include <string>

/// One start of an upstream's process, as it announced itself.
struct cw_upstream_entry {
    std::string id;
    std::string service;
    /// "IP:port".
    std::string address;
    /// Failure domain.
    std::string domain;
    std::uint32_t slots = 1;
    /// True when it has announced that it will end.
    bool leaving = false;
    /// Moment at which it will have warmed up after its start.
    cw_boot_time warm_at{};
    /// Start of this life in microseconds or any other unit that rises from one life to the next.
    std::uint64_t incarnation = 0;

    friend bool operator==(const cw_upstream_entry&, const cw_upstream_entry&) = default;
};
