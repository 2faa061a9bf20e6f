#pragma once

#include "cw_boot_clock.h"
#include "cw_key_load.h"
#include "cw_key_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Inputs of the decisions about key ownership.

/// How an order to an upstream ended.
enum class cw_ownership_command_result {
    done,
    /// The upstream has seen a higher fence.
    fenced,
    /// Another upstream answers at the address, so the one that was meant has ended.
    other_upstream,
    /// No connection was made, so the order did not arrive.
    not_sent,
    /// The order may have arrived, and any of its bytes may until this moment.
    unanswered
};
struct cw_ownership_command_ended {
    std::uint64_t number = 0;
    cw_ownership_command_result result = cw_ownership_command_result::unanswered;
    /// Token of a released key range; may be empty.
    std::string handover;
    /// When the answer arrived or the connection was reset.
    cw_boot_time ended_at{};
};
/// How a call for a key table ended.
enum class cw_table_result {
    /// The table is as given.
    done,
    /// The store has another revision; the table is as given, if there is one.
    conflict,
    /// Nothing is known; a write may have been carried out or may still be.
    unknown
};
struct cw_table_answer {
    cw_table_result result = cw_table_result::unknown;
    bool was_write = false;
    /// Nothing when the store has no table.
    std::optional<cw_key_table> table;
    std::uint64_t revision = 0;
    /// When the call was sent.
    cw_boot_time sent_at{};
};
/// The steward's sign of life; nothing when it could not be read.
struct cw_heartbeat_answer {
    bool was_write = false;
    bool done = false;
    std::uint64_t count = 0;
    /// Term of the steward that wrote it; 0 when that is not known.
    std::uint64_t term = 0;
    /// When the call was sent.
    cw_boot_time sent_at{};
};
/// What came of this host's report to the steward.
enum class cw_report_result {
    answered,
    /// It answers, but the store does not answer it, so it asks for a successor.
    requests_successor,
    /// Nothing listens at the steward's address.
    refused,
    no_answer
};
/// An earlier steward knows that this host has succeeded it, and grants no more.
struct cw_succession_ack {
    cw_steward_id predecessor;
    /// The successor's term.
    std::uint64_t term = 0;
};
