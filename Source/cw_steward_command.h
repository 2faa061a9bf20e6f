#pragma once

#include "cw_key_range.h"
#include "cw_key_table.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

/// Outputs of the decisions about key ownership, carried out by the shell around them.

/// An order to an upstream, to take keys or to give them up.
struct cw_ownership_command {
    enum class kind {
        grant,
        release,
        /// Releases a key that the upstream does not own, only to see whether it answers.
        probe,
    };

    /// Names the order in its result.
    std::uint64_t number = 0;
    kind type = kind::grant;
    std::string service;
    cw_key_owner upstream;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
    /// Length of the lease; grants only.
    std::chrono::milliseconds lease{0};
    /// Token of the keys' last holder; may be empty.
    std::string handover;

    /// Name of the kind, for logs and counters.
    [[nodiscard]] static constexpr const char* kind_name(kind type) {
        return type == kind::grant ? "grant" : type == kind::release ? "release" : "probe";
    }
};
/// Reads a service's key table.
struct cw_read_table {
    std::string service;
};
/// Writes a service's key table if the store still has the revision; 0 expects no table.
struct cw_write_table {
    std::string service;
    std::string text;
    std::uint64_t revision = 0;
};
/// Shows in the store that the steward lives.
struct cw_write_heartbeat {
    std::string service;
    std::uint64_t count = 0;
    /// The steward's term.
    std::uint64_t term = 0;
};
/// Reads the steward's sign of life.
struct cw_read_heartbeat {
    std::string service;
};
/// Tells an earlier steward that it was succeeded, by the table that names its successor.
struct cw_notify_predecessor {
    std::string service;
    cw_steward_id to;
    std::uint64_t term = 0;
    std::string table;
};

using cw_steward_command =
    std::variant<cw_ownership_command, cw_read_table, cw_write_table, cw_write_heartbeat,
                 cw_read_heartbeat, cw_notify_predecessor>;
