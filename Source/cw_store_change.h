#pragma once

#include "cw_site_config.h"
#include "cw_upstream_entry.h"

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// What a look at the operators' configuration in the store showed.
struct cw_config_change {
    /// Null when there is nothing new that can be used.
    std::shared_ptr<const cw_site_config> config;
    /// The configuration as the store holds it, for hosts that are told of it.
    nlohmann::json source;
    /// The store's revision from which to watch on.
    std::uint64_t revision = 0;
    /// True when the store has forgotten the changes since the revision asked for.
    bool is_history_gone = false;
};

/// What a look at the upstreams' entries in the store showed.
struct cw_upstream_change {
    std::vector<cw_upstream_entry> written;
    /// Ids of entries that were removed or cannot be read.
    std::vector<std::string> removed;
    /// The store's revision from which to watch on.
    std::uint64_t revision = 0;
    /// True when the store has forgotten the changes since the revision asked for.
    bool is_history_gone = false;
};
