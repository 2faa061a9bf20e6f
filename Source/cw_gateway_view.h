#pragma once

#include "cw_crash_counts.h"
#include "cw_ended_stewardship.h"
#include "cw_evacuation_view.h"
#include "cw_key_table.h"
#include "cw_reader_ranking.h"
#include "cw_site_config.h"
#include "cw_upstream_entry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// Upstreams by service.
using cw_upstream_lists = std::map<std::string, std::vector<cw_upstream_entry>>;

/// Snapshot of the control state for the handling of requests; never changed in place.
struct cw_gateway_view {
    /// Null until a configuration is known.
    std::shared_ptr<const cw_site_config> config;
    /// Upstreams that are not leaving, by service; without those in evacuated failure domains if
    /// the service has no keys. Never null. Views share one object as long as it has not changed.
    std::shared_ptr<const cw_upstream_lists> upstreams = std::make_shared<cw_upstream_lists>();
    /// Key tables by service.
    std::map<std::string, std::shared_ptr<const cw_key_table>> tables;
    /// This host's last stewardships that have ended, by service.
    std::map<std::string, cw_ended_stewardship> ended_stewardships;
    /// Hosts that share the retry budget, this one included; 0 while their number is unknown.
    std::uint32_t hosts = 1;
    /// Requests that crashed upstreams; never null. Views share one object as long as it has not
    /// changed.
    std::shared_ptr<const cw_crash_counts> crashes = std::make_shared<cw_crash_counts>();
    /// Readers that this host has chosen, by failure domain; empty if another host chooses them.
    cw_readers_by_domain readers;
    /// Services of which this host is the steward and requests a successor, because the store does
    /// not answer it.
    std::set<std::string> requesting_successor;
    /// Evacuated failure domains, and those that returned to service a moment ago.
    cw_evacuation_view evacuations;
    /// True once a stop of the process was requested.
    bool stopping = false;
};
