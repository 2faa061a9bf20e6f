#pragma once

#include "cw_boot_clock.h"
#include "cw_key_range.h"
#include "cw_key_table.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

/// Outputs of cw_steward, which the program around it executes.

/// A command to an upstream to accept or to release a range of keys.
struct cw_ownership_command {
    enum class kind {
        grant,
        release,
        /// Releases a key that the upstream does not own, only to check whether it answers.
        probe,
    };

    /// Identifies the command in cw_ownership_command_ended.
    std::uint64_t number = 0;
    kind type = kind::grant;
    std::string service;
    cw_key_owner upstream;
    /// First and last key hash of the range.
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    /// Fencing token: an upstream refuses a grant if it has seen a higher one for the keys.
    std::uint64_t fence = 0;
    /// Length of the lease, counted from the arrival of the grant; grants only.
    std::chrono::milliseconds lease{0};
    /// Token that the keys' last holder returned when it released them; may be empty.
    std::string handover;
    /// When the steward decided on the command.
    cw_boot_time decided_at{};
    /// When the store call was sent that last confirmed the sender as the steward.
    cw_boot_time confirmed_at{};
    /// The command is not sent after this time.
    cw_boot_time send_by = cw_boot_time::max();

    /// A command without effect, whenever it is executed, whose answer shows that the upstream
    /// executes commands: it releases one key under a fence lower than all that move keys.
    [[nodiscard]] static cw_ownership_command probe(cw_key_owner upstream, std::uint32_t key) {
        constexpr std::uint64_t lowest_fence = 1;
        cw_ownership_command command;
        command.type = kind::probe;
        command.upstream = std::move(upstream);
        command.first = key;
        command.last = key;
        command.fence = lowest_fence;
        return command;
    }
    /// Name of the kind, for logs and counters.
    [[nodiscard]] static constexpr const char* kind_name(kind type) {
        return type == kind::grant ? "grant" : type == kind::release ? "release" : "probe";
    }
};
/// Reads a service's key table.
struct cw_read_table {
    std::string service;
};
/// Writes a service's key table if the store still has the given revision; revision 0 requires that
/// the store has no table.
struct cw_write_table {
    std::string service;
    std::string text;
    std::uint64_t revision = 0;
};
/// Writes the steward's heartbeat to the store.
struct cw_write_heartbeat {
    std::string service;
    std::uint64_t count = 0;
    /// The steward's term.
    cw_term term;
};
/// Reads the steward's heartbeat from the store.
struct cw_read_heartbeat {
    std::string service;
};
/// Notifies an earlier steward that it was succeeded.
struct cw_notify_predecessor {
    std::string service;
    cw_steward_id to;
    /// The successor's term.
    cw_term term;
    /// JSON of the key table that names the successor.
    std::string table;
};

using cw_steward_command =
    std::variant<cw_ownership_command, cw_read_table, cw_write_table, cw_write_heartbeat,
                 cw_read_heartbeat, cw_notify_predecessor>;
