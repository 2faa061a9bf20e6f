#pragma once

#include "cw_lease_grant.h"
#include "cw_peer_message.h"
#include "cw_timeline_event.h"

#include <cstdint>
#include <string>
#include <variant>

/// Outputs of the keeper's decision code, executed by the I/O code around it.

struct cw_send_peer_command {
    /// Host id of the receiving keeper.
    std::string to;
    cw_peer_body body;
};
struct cw_send_grant_command {
    cw_lease_grant grant;
};
/// Writes a value if the key still has the expected version; 0 means that no value exists.
struct cw_write_command {
    std::string key;
    std::string value;
    std::uint64_t expected_version = 0;
    std::string writer;
};
struct cw_read_command {
    std::string key;
};
/// Fetches a configuration of at least the given version from another keeper.
struct cw_fetch_config_command {
    /// Host id of the keeper that offered it.
    std::string from;
    std::uint64_t version = 0;
};
/// Fetches a service's table from another keeper.
struct cw_fetch_table_command {
    /// Host id of the keeper that offered it.
    std::string from;
    std::string service;
};
/// Publishes the routing data, which has changed, to the routers.
struct cw_publish_command {};
/// The keeper grants nothing any more; the process may exit.
struct cw_stopped_command {};

using cw_keeper_command =
    std::variant<cw_send_peer_command, cw_send_grant_command, cw_write_command, cw_read_command,
                 cw_fetch_config_command, cw_fetch_table_command, cw_publish_command,
                 cw_stopped_command, cw_timeline_event>;
