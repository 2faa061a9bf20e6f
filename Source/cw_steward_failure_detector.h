#pragma once

#include "cw_boot_clock.h"
#include "cw_steward_event.h"
#include "cw_steward_options.h"

#include <cstdint>
#include <optional>
#include <random>

/// Failure detector of a follower: decides whether it may claim the stewardship.
///
/// A steward whose address refuses connections has failed. A steward that does not answer has
/// failed only if its heartbeat in the store no longer changes either, since a host that merely has
/// no connection to the steward must not take over. A steward that requests a successor, because
/// the store does not answer it, may be succeeded by any host.
class cw_steward_failure_detector {
public:
    cw_steward_failure_detector(const cw_steward_options& options, std::uint64_t seed);

    /// The table names another steward, or the steward has answered: discards what was observed of
    /// it. The time without an answer starts now.
    void reset(cw_boot_time now);
    /// This host was succeeded; it does not claim the stewardship again for
    /// cw_steward_options::reclaim_delay.
    void on_succeeded(cw_boot_time now);
    /// This host has just started: delays its claim so that hosts with more CPU capacity can claim
    /// a vacant stewardship first.
    void delay_first_claim(cw_boot_time now);
    /// `is_reader` is true for a host that succeeds a failed steward without the follower delays.
    void set_reader(bool is_reader) { is_reader_ = is_reader; }
    void on_report_result(cw_report_result result, cw_boot_time now);
    /// The steward's heartbeat was read from the store.
    void on_heartbeat(std::uint64_t count, cw_boot_time now);

    /// True if the steward has not answered for cw_steward_options::heartbeat_check_delay, so that
    /// its heartbeat should be read.
    [[nodiscard]] bool is_unresponsive(cw_boot_time now) const;
    /// True if this host may claim the stewardship. `is_vacant` is true if there is no steward.
    [[nodiscard]] bool may_claim(bool is_vacant, cw_boot_time now) const;

private:
    std::chrono::milliseconds heartbeat_check_delay_;
    std::chrono::milliseconds heartbeat_timeout_;
    std::chrono::milliseconds reclaim_delay_;
    std::chrono::milliseconds claim_delay_;
    std::chrono::milliseconds follower_claim_delay_;
    int follower_heartbeat_timeout_factor_;
    bool is_reader_ = true;
    std::minstd_rand engine_;
    /// When the steward last answered.
    cw_boot_time last_answer_{};
    bool is_refused_ = false;
    /// True if the steward requested a successor in its last answer.
    bool requests_successor_ = false;
    cw_boot_time earliest_claim_{};
    /// The heartbeat as last read, and when it was first read with this value.
    std::optional<std::uint64_t> heartbeat_;
    cw_boot_time heartbeat_changed_at_{};
};
