#pragma once

#include "cw_crash_marks.h"
#include "cw_host_report.h"
#include "cw_leaving_notice.h"
#include "cw_site_config.h"
#include "cw_steward_event.h"
#include "cw_upstream_entry.h"

#include <chrono>
#include <memory>
#include <optional>
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
/// All upstream entries as one read showed them.
struct cw_upstreams_listed {
    std::vector<cw_upstream_entry> entries;
};
/// Upstream entries that were written or removed since the last look.
struct cw_upstreams_changed {
    std::vector<cw_upstream_entry> written;
    std::vector<std::string> removed;
};
/// A call to the store failed.
struct cw_store_failed {
    std::string reason;
};
/// An event that concerns one service's keys.
struct cw_ownership_event {
    std::string service;
    std::variant<cw_order_ended, cw_table_answer, cw_beat_answer, cw_contact, cw_gave_way> payload;
};
/// The steward's answer to this host's report.
struct cw_steward_answer {
    std::string service;
    cw_key_table table;
    std::uint32_t hosts = 1;
    /// True when the store does not answer the steward.
    bool requests_successor = false;
    /// Requests that crashed upstreams, with the number of crashes; nothing from a steward that
    /// does not gather them.
    std::optional<cw_crash_marks> crashes;
    /// Addresses of this host's readers in their order; empty when none were named.
    std::vector<std::string> readers;
};
/// A key table from a host that is not, or no longer, its steward.
struct cw_table_received {
    std::string service;
    cw_key_table table;
};
/// The key table of a host that says it has succeeded this one.
struct cw_succession {
    std::string service;
    cw_key_table table;
};
/// Requests for keys that this host took since its last report.
struct cw_local_load {
    std::string service;
    std::vector<cw_key_count> counts;
    std::vector<cw_speed_note> speeds;
};
/// Bounds of ownership from settings that have changed.
struct cw_ownership_limits {
    std::chrono::milliseconds tenure{};
};
/// The process was told to stop.
struct cw_stop_requested {};

using cw_control_event =
    std::variant<cw_clock_tick, cw_config_received, cw_upstreams_listed, cw_upstreams_changed,
                 cw_store_failed, cw_ownership_event, cw_steward_answer, cw_table_received,
                 cw_succession, cw_host_report, cw_local_load, cw_crash_report, cw_leaving_notice,
                 cw_ownership_limits, cw_stop_requested>;
