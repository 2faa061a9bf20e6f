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
/// A configuration has become effective.
struct cw_config_event {
    std::shared_ptr<const cw_config> config;
};
/// A service's table was read from the store or received from another keeper that read it there.
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
    /// Time at which the read was sent.
    cw_time_point sent{};
};
/// Result of a conditional write; `unknown` if no reply arrived.
enum class cw_write_outcome { done, conflict, unknown };
struct cw_write_event {
    std::string key;
    std::string writer;
    cw_write_outcome outcome = cw_write_outcome::unknown;
};
/// Load per slice as measured by the routers of this host.
struct cw_router_load_event {
    std::string service;
    cw_service_load load;
};
/// A router of this host saw a request crash an upstream, or saw an upstream answer a request that
/// had been reported as a crash.
struct cw_crash_event {
    std::uint64_t fingerprint = 0;
    /// "IP:port" of the upstream that crashed.
    std::string address;
    bool answered = false;
};
/// The process was requested to stop.
struct cw_stop_event {};

using cw_keeper_event = std::variant<cw_tick_event, cw_hosts_event, cw_config_event, cw_table_event,
                                     cw_ring_event, cw_write_event, cw_peer_message, cw_lease_reply,
                                     cw_router_load_event, cw_crash_event, cw_stop_event>;
