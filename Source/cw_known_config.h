#pragma once

#include "cw_boot_clock.h"

#include <cstdint>

/// What a host knows of configurations that are later than its own.
struct cw_known_config {
    /// The latest version that this host has or has heard of.
    std::uint64_t version = 0;
    /// Moment as of which this host surely had the latest version.
    cw_boot_time current_as_of{};
    /// True while the store, or a reader that reads it, answers this host in time.
    bool are_sources_answering = false;
    /// The latest version that this host has.
    std::uint64_t received_version = 0;
};
