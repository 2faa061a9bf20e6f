#pragma once

#include "cw_boot_clock.h"
#include "cw_key_load.h"
#include "cw_key_table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Inputs of cw_steward.

/// How a command to an upstream ended.
enum class cw_ownership_command_result {
    done,
    /// The upstream refused the command because it has seen a higher fence.
    fenced,
    /// Another upstream answers at the address, so the addressed one has ended.
    other_upstream,
    /// The command was not sent, since no connection was open to the upstream.
    not_sent,
    /// The command was not sent, since all connections to the upstream were established after the
    /// store last confirmed the sender as the steward. The upstream answers.
    unconfirmed,
    /// The command was not sent, since its sender's thread was late.
    late,
    /// No answer; the command may have arrived at any time until `ended_at`.
    unanswered
};
struct cw_ownership_command_ended {
    /// Number of the command that ended.
    std::uint64_t number = 0;
    cw_ownership_command_result result = cw_ownership_command_result::unanswered;
    /// Token that an upstream returned with a release; may be empty.
    std::string handover;
    /// When the answer arrived or the connection was reset.
    cw_boot_time ended_at{};
    /// Step and reason of a call that failed, for the log; empty if the upstream answered.
    std::string failure;
    /// True if a connection to the upstream was opened for the command.
    bool opened_connection = false;
};
/// How a read or a write of a key table ended.
enum class cw_table_result {
    /// The call succeeded; cw_table_answer holds the store's table.
    done,
    /// A write was refused since the store has another revision; cw_table_answer holds the store's
    /// table, if there is one.
    conflict,
    /// No answer; a write may have taken effect, or still may.
    unknown
};
struct cw_table_answer {
    cw_table_result result = cw_table_result::unknown;
    bool was_write = false;
    /// Empty if the store has no table.
    std::optional<cw_key_table> table;
    /// The table's revision and the store's era when it answered.
    std::uint64_t revision = 0;
    std::uint64_t era = 0;
    /// When the call was sent.
    cw_boot_time sent_at{};
};
/// The store's answer to a read or a write of the steward's heartbeat.
struct cw_heartbeat_answer {
    bool was_write = false;
    /// True if the call succeeded.
    bool done = false;
    /// Changes with each write of the heartbeat.
    std::uint64_t count = 0;
    /// The store's era when it answered; 0 if it did not answer.
    std::uint64_t era = 0;
    /// Term of the steward that wrote the heartbeat; none if unknown.
    cw_term term;
    /// When the call was sent.
    cw_boot_time sent_at{};
};
/// How a report of this host to the steward ended.
enum class cw_report_result {
    answered,
    /// The steward answers, but the store does not answer the steward, so it requests a successor.
    requests_successor,
    /// The connection was refused: no process listens at the steward's address.
    refused,
    no_answer
};
/// An earlier steward acknowledges that this host has succeeded it, and no longer grants keys.
struct cw_succession_ack {
    cw_steward_id predecessor;
    /// The successor's term.
    cw_term term;
    /// The last table of the predecessor's stewardship; none from a host of an earlier release, if
    /// the owners in the successor's table are certain, or if another steward was in between.
    std::shared_ptr<const cw_key_table> table = nullptr;
};
