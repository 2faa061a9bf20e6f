#pragma once

#include "cw_boot_clock.h"
#include "cw_error.h"
#include "cw_upstream_entry.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

/// Changes of upstreams' entries from one revision of the store to another.
struct cw_upstream_delta {
    /// The store's revision up to which this is complete.
    std::uint64_t revision = 0;
    /// True when `written` names all entries and those that it lacks are missing.
    bool is_full = false;
    std::vector<cw_upstream_entry> written;
    /// Ids of entries that were removed or cannot be read.
    std::vector<std::string> removed;

    [[nodiscard]] bool is_empty() const { return !is_full && written.empty() && removed.empty(); }
};

/// The news as JSON; warm-up times are told as milliseconds from `now`.
[[nodiscard]] nlohmann::json cw_delta_to_json(const cw_upstream_delta& delta, cw_boot_time now);
/// Reads cw_delta_to_json()'s form; the error says what is wrong.
[[nodiscard]] cw_result<cw_upstream_delta> cw_delta_from_json(const nlohmann::json& value,
                                                              cw_boot_time now);
