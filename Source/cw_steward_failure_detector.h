#pragma once

#include "cw_boot_clock.h"
#include "cw_steward_event.h"
#include "cw_steward_options.h"

#include <cstdint>
#include <optional>
#include <random>

/// Decides from the outside whether a service's steward is lost and may be succeeded.
///
/// A steward at whose address nothing listens is lost. One that is merely silent is lost when its
/// beats in the store stand still as well: a host that is cut off from the steward alone must not
/// take over. One that says that the store does not answer it may be succeeded by any host.
class cw_steward_failure_detector {
public:
    cw_steward_failure_detector(const cw_steward_options& options, std::uint64_t seed);

    /// Another steward is in office, or this host was succeeded; everything begins anew.
    void reset(cw_boot_time now);
    /// This host was succeeded, and does not claim again for a while.
    void on_succeeded(cw_boot_time now);
    /// This host has just started, and lets stronger ones claim a vacant office first.
    void delay_first_claim(cw_boot_time now);
    /// True for a host that succeeds a lost steward at once; others wait for such hosts.
    void set_reader(bool is_reader) { is_reader_ = is_reader; }
    void on_report_result(cw_report_result result, cw_boot_time now);
    /// The steward's beats were read.
    void on_heartbeat(std::uint64_t count, cw_boot_time now);

    /// True when the steward's beats should be read.
    [[nodiscard]] bool is_unresponsive(cw_boot_time now) const;
    /// True when this host may claim the stewardship. `is_vacant` is true when nobody holds it.
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
    /// When the steward was last heard.
    cw_boot_time last_answer_{};
    bool is_refused_ = false;
    /// It asked for a successor when it was last heard.
    bool requests_successor_ = false;
    cw_boot_time earliest_claim_{};
    /// The beats as last read, and since when they have stood still.
    std::optional<std::uint64_t> heartbeat_;
    cw_boot_time heartbeat_changed_at_{};
};
