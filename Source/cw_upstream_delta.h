#pragma once

#include "cw_boot_clock.h"
#include "cw_entry_stamp.h"
#include "cw_error.h"
#include "cw_store_position.h"
#include "cw_upstream_entry.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

/// Changes of the upstream entries up to a position of the store.
struct cw_upstream_delta {
    /// Position of the store up to which the changes are complete.
    cw_store_position position;
    /// True when `written` holds all entries, so that every other entry no longer exists.
    bool is_full = false;
    /// New or changed entries.
    std::vector<cw_upstream_entry> written;
    /// Ids of entries that were removed or cannot be parsed.
    std::vector<std::string> removed;
    /// Stamps of removed entries when they were last known, by id. An older copy of such an entry
    /// may appear again when the store comes back from an older copy.
    std::map<std::string, cw_entry_stamp> removed_stamps{};

    [[nodiscard]] bool is_empty() const { return !is_full && written.empty() && removed.empty(); }
};

/// Converts a delta to JSON; warm-up times are written as milliseconds from `now`.
[[nodiscard]] nlohmann::json cw_delta_to_json(const cw_upstream_delta& delta, cw_boot_time now);
/// Parses the output of cw_delta_to_json(). Fails if a member is missing or has the wrong type.
[[nodiscard]] cw_result<cw_upstream_delta> cw_delta_from_json(const nlohmann::json& value,
                                                              cw_boot_time now);
