#pragma once

#include "cw_key_planner.h"

#include <chrono>

/// Intervals and bounds of key ownership. docs/PLATFORM.md derives them.
struct cw_steward_options {
    /// Length of a lease, counted by the upstream from the arrival of the grant.
    std::chrono::milliseconds lease{1'000};
    /// Interval between two renewals of one range.
    std::chrono::milliseconds renewal_interval{280};
    /// Pause before an order that failed is sent again.
    std::chrono::milliseconds command_retry_delay{40};
    /// Interval at which a release without an answer is sent again.
    std::chrono::milliseconds release_retry_interval{300};
    /// Time without an answer after which an owner is given up, if two orders in a row have failed.
    std::chrono::milliseconds unresponsive_after{500};
    /// Time after a failure until an owner that was given up is probed. One that answers may be
    /// given keys again.
    std::chrono::milliseconds probe_delay{1'500};
    /// Age of the last confirmation by the store up to which a steward grants keys.
    std::chrono::milliseconds tenure{10'000};
    /// Age of the last confirmation by the store from which a steward asks for a successor that
    /// the store answers.
    std::chrono::milliseconds max_unconfirmed{2'500};
    /// Interval at which a predecessor is told again that it was succeeded.
    std::chrono::milliseconds succession_retry_interval{300};
    /// Pause before a store call that failed is sent again.
    std::chrono::milliseconds store_retry_delay{150};
    /// Interval at which the steward shows in the store that it lives.
    std::chrono::milliseconds heartbeat_interval{400};
    /// Time without word from the steward after which another host looks at its beats.
    std::chrono::milliseconds heartbeat_check_delay{600};
    /// Time in which the beats must stand still before another host takes over.
    std::chrono::milliseconds heartbeat_timeout{900};
    /// Time by which this host lets others claim a vacant office first.
    std::chrono::milliseconds claim_delay{0};
    /// The same for a host that is not among the strongest of its failure domain.
    std::chrono::milliseconds follower_claim_delay{400};
    /// Interval at which such a host looks at the beats of a silent steward.
    std::chrono::milliseconds follower_heartbeat_check_interval{1'200};
    /// How many times longer the beats must stand still before such a host takes over.
    int follower_heartbeat_timeout_factor = 3;
    /// Pause after which a host that lost the stewardship may take it over again.
    std::chrono::milliseconds reclaim_delay{3'000};
    /// Interval between two plans for balance.
    std::chrono::milliseconds balance_interval{500};
    /// Time from taking over after which loads are levelled although speeds are not known.
    std::chrono::milliseconds max_speed_wait{4'000};
    /// Time for which an upstream that took part in a move is left alone by the balance.
    std::chrono::milliseconds move_cooldown{1'500};
    /// Time after the last new upstream before keys are first given out.
    std::chrono::milliseconds initial_grant_delay{1'000};
    /// Share by which an upstream's clock may run slow, with a margin for the way of messages.
    double clock_error = 0.04;
    cw_key_plan_options plan;

    /// Longest time for which a grant may be in force after it has arrived.
    [[nodiscard]] std::chrono::milliseconds max_lease() const {
        return lease + std::chrono::duration_cast<std::chrono::milliseconds>(lease * clock_error);
    }
};
