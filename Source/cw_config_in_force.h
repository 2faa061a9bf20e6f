#pragma once

#include "cw_known_config.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

/// The configuration by which a host handles requests, and how far it is behind the store.
///
/// A version that has been received is not in force yet: it passes the control state and two
/// threads. So the age of the one in force does not end when a later one is received. It counts
/// from the latest moment as of which the host surely had no later one.
///
/// A deterministic state machine: it reads no clock and does no I/O.
class cw_config_in_force {
public:
    using milliseconds = std::chrono::milliseconds;

    /// Records what the host knows at `now`; to be called several times a second.
    void on_known(const cw_known_config& known, cw_boot_time now);
    /// Records that requests are handled by the version from `now` on; 0 for none.
    void on_in_force(std::uint64_t version, cw_boot_time now);

    /// The version in force; 0 for none.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// Time since the version in force was received; none if that is unknown.
    [[nodiscard]] std::optional<milliseconds> time_since_received(cw_boot_time now) const;
    /// True if a later version than the one in force is known to exist, or may exist for longer
    /// than `bound`.
    [[nodiscard]] bool is_outdated(milliseconds bound, cw_boot_time now) const;
    /// True if a later version than the one in force is known to exist, and may have been
    /// acknowledged for longer than `bound`. A version that has not been received counts only while
    /// the host's sources answer: a host that is cut off goes on with what it has. Also true if
    /// nothing has been recorded for longer than `bound`: the thread that does it is late.
    [[nodiscard]] bool is_overdue(milliseconds bound, cw_boot_time now) const;
    /// The highest lag of the version in force since the last call, at most
    /// cw_replication_lag::unknown: no later version has been acknowledged for longer.
    [[nodiscard]] milliseconds take_peak_lag(cw_boot_time now);

private:
    /// What is known of a version that has been received.
    struct received_config {
        /// Latest moment as of which it was surely the latest; the clock's epoch for none.
        cw_boot_time latest_as_of{};
        cw_boot_time received_at{};
    };

    /// The record of the version in force, or of the last one before that is known of; null if
    /// there is none.
    [[nodiscard]] const received_config* find_in_force() const;
    [[nodiscard]] bool may_be_older_than(milliseconds bound, cw_boot_time now) const;
    [[nodiscard]] milliseconds lag(cw_boot_time now) const;
    void note_peak(cw_boot_time now);

    cw_known_config known_;
    /// When that was recorded; none before the first record.
    std::optional<cw_boot_time> told_at_;
    std::uint64_t version_ = 0;
    /// By version; none before the one in force, so it holds only what waits to be in force.
    std::map<std::uint64_t, received_config> received_;
    milliseconds peak_{0};
};
