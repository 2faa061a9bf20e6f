#pragma once

#include "cw_crash_counts.h"
#include "cw_host_report.h"
#include "cw_leaving_notice.h"
#include "cw_site_config.h"
#include "cw_steward_event.h"
#include "cw_store_position.h"
#include "cw_upstream_entry.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Inputs of a gateway's control state.

/// Time has passed.
struct cw_clock_tick {};
/// A configuration was read from the store.
struct cw_config_received {
    std::shared_ptr<const cw_site_config> config;
};
/// The names of all evacuated failure domains, as of a position of the store.
struct cw_evacuations_received {
    std::set<std::string> names;
    cw_store_position position;
    /// Longest time for which the change can have been unknown to this host.
    std::chrono::milliseconds lag{0};
};
/// All upstream entries, from one read of the store.
struct cw_upstreams_listed {
    std::vector<cw_upstream_entry> entries;
};
/// Upstream entries that were written or removed since the last read.
struct cw_upstreams_changed {
    std::vector<cw_upstream_entry> written;
    std::vector<std::string> removed;
};
/// A call to the store failed, or no source of entries was current.
struct cw_store_failed {
    std::string reason;
    /// True if this may have lasted for so long that entries have expired whose upstreams live.
    bool can_entries_have_expired = true;
};
/// The store has come back from an older copy of itself; what was written since is written again.
struct cw_store_restored {
    std::uint64_t era = 0;
};
/// An event that concerns one service's keys.
struct cw_ownership_event {
    std::string service;
    std::variant<cw_ownership_command_ended, cw_table_answer, cw_heartbeat_answer, cw_report_result,
                 cw_succession_ack>
        payload;
};
/// The steward's answer to this host's report.
struct cw_steward_answer {
    std::string service;
    cw_key_table table;
    std::uint32_t hosts = 1;
    /// True when the steward requests a successor, because the store does not answer it.
    bool requests_successor = false;
    /// Requests that crashed upstreams, with the number of crashes; no value from a steward that
    /// does not collect them.
    std::optional<cw_crash_counts> crashes;
    /// Addresses of this host's readers in order of preference; empty if none were chosen.
    std::vector<std::string> readers;
};
/// A key table received from a host that is not, or no longer, its steward.
struct cw_table_received {
    std::string service;
    cw_key_table table;
};
/// The key table of a host that claims to have succeeded this one as steward.
struct cw_succession {
    std::string service;
    cw_key_table table;
};
/// Load that this host has measured since its last report.
struct cw_local_load {
    std::string service;
    std::vector<cw_key_count> counts;
    std::vector<cw_speed_sample> speeds;
};
/// Limits of key ownership, from changed settings.
struct cw_ownership_limits {
    std::chrono::milliseconds tenure{};
};
/// The process received a request to stop.
struct cw_stop_requested {};

using cw_control_event =
    std::variant<cw_clock_tick, cw_config_received, cw_evacuations_received, cw_upstreams_listed,
                 cw_upstreams_changed, cw_store_failed, cw_store_restored, cw_ownership_event,
                 cw_steward_answer, cw_table_received, cw_succession, cw_host_report, cw_local_load,
                 cw_crash_report, cw_leaving_notice, cw_ownership_limits, cw_stop_requested>;
