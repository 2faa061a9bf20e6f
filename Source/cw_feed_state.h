#pragma once

#include "cw_boot_clock.h"
#include "cw_store_position.h"

#include <cstdint>

/// What a host knows from the store, and since when, for its metrics.
struct cw_feed_state {
    /// Version of the configuration that was received last; 0 if none is known.
    std::uint64_t config_version = 0;
    /// When this host received that version.
    cw_boot_time config_received_at{};
    /// The store's position of the upstream entries.
    cw_store_position position;
    /// When the store last responded to this host or to its reader.
    cw_boot_time last_store_response{};
    /// True while the store itself is the source, and not a reader.
    bool reads_store = false;
    /// Number of requests to readers that ended without an answer.
    std::uint64_t unanswered_polls = 0;
};
