#pragma once

#include "cw_config.h"
#include "cw_host.h"
#include "cw_lease_reply.h"
#include "cw_peer_message.h"
#include "cw_ring.h"
#include "cw_service_load.h"
#include "cw_slice_table.h"
#include "cw_time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Inputs of the keeper's decision code.

/// Time has passed.
struct cw_tick_event {};
/// The platform's host list was read.
struct cw_hosts_event {
    std::vector<cw_host> hosts;
};
/// A configuration is in force.
struct cw_config_event {
    std::shared_ptr<const cw_config> config;
};
/// A service's table was read from the store, or another keeper told what it read there.
struct cw_table_event {
    cw_slice_table table;
    std::uint64_t store_version = 0;
    bool from_peer = false;
};
/// A domain's ring record was read from the store.
struct cw_ring_event {
    cw_ring ring;
    /// 0 when the store has no record.
    std::uint64_t store_version = 0;
    /// Moment at which the read was sent.
    cw_time_point sent{};
};
/// How a conditional write ended.
enum class cw_write_outcome { done, conflict, unknown };
struct cw_write_event {
    std::string key;
    std::string writer;
    cw_write_outcome outcome = cw_write_outcome::unknown;
};
/// Load per slice, as the routers of this host saw it.
struct cw_router_load_event {
    std::string service;
    cw_service_load load;
};
/// A router of this host saw an upstream die of a request, or a marked request answered after all.
struct cw_crash_event {
    std::uint64_t fingerprint = 0;
    /// "IP:port" of the upstream that died.
    std::string address;
    bool answered = false;
};
/// The process was told to stop.
struct cw_stop_event {};

using cw_keeper_event = std::variant<cw_tick_event, cw_hosts_event, cw_config_event, cw_table_event,
                                     cw_ring_event, cw_write_event, cw_peer_message, cw_lease_reply,
                                     cw_router_load_event, cw_crash_event, cw_stop_event>;
