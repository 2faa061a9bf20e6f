#pragma once

#include "cw_key_planner.h"

#include <algorithm>
#include <chrono>

/// Intervals and limits of key ownership. docs/PLATFORM.md derives them.
struct cw_steward_options {
    /// Shortest length of a lease, counted by the upstream from the arrival of the grant. A longer
    /// one keeps the keys of a lost upstream away from callers for longer.
    std::chrono::milliseconds lease{1'000};
    /// Longest length of a lease that is chosen for the sake of running requests. An upstream may
    /// execute a command that got no answer 2 s late, and its lease has to have ended by then.
    std::chrono::milliseconds max_request_lease{1'800};
    /// Interval between two renewals of one range.
    std::chrono::milliseconds renewal_interval{280};
    /// Delay of a renewal and of its way that is usual on a busy host.
    std::chrono::milliseconds max_renewal_delay{100};
    /// Time after its decision at which a command to an upstream is no longer sent.
    std::chrono::milliseconds max_send_delay{400};
    /// Minimum interval between two reads of the table that confirm this host as the steward for
    /// new connections to upstreams.
    std::chrono::milliseconds confirmation_interval{100};
    /// Delay before a grant that failed is sent again.
    std::chrono::milliseconds command_retry_delay{40};
    /// Minimum interval between two releases to one holder of a range.
    std::chrono::milliseconds release_retry_interval{300};
    /// Time without an answer after which an upstream counts as unresponsive, if three grants or
    /// probes in a row have failed.
    std::chrono::milliseconds unresponsive_after{500};
    /// Time after a failure until an unresponsive upstream is probed. If it answers, it may be
    /// granted keys again.
    std::chrono::milliseconds probe_delay{1'500};
    /// Maximum age of the last confirmation by the store at which a steward grants keys.
    std::chrono::milliseconds tenure{10'000};
    /// Age of the last confirmation by the store after which a steward requests a successor that
    /// the store answers.
    std::chrono::milliseconds max_unconfirmed{2'500};
    /// Time after the store came back from an older copy in which only the steward of before writes
    /// the table again, before another host claims the stewardship.
    std::chrono::milliseconds restore_grace{1'000};
    /// Interval between two notices to a predecessor that it was succeeded.
    std::chrono::milliseconds succession_retry_interval{300};
    /// Delay before a store call that failed is sent again.
    std::chrono::milliseconds store_retry_delay{150};
    /// Interval at which the steward writes its heartbeat to the store.
    std::chrono::milliseconds heartbeat_interval{400};
    /// Time without an answer from the steward after which another host reads its heartbeat.
    std::chrono::milliseconds heartbeat_check_delay{600};
    /// Time without a new heartbeat after which another host takes over.
    std::chrono::milliseconds heartbeat_timeout{900};
    /// Delay before this host claims the stewardship, so that hosts with more CPU capacity come
    /// first.
    std::chrono::milliseconds claim_delay{0};
    /// The same for a host that is no reader of its failure domain.
    std::chrono::milliseconds follower_claim_delay{400};
    /// Interval at which a host that is no reader reads the heartbeat of an unresponsive steward.
    std::chrono::milliseconds follower_heartbeat_check_interval{1'200};
    /// Factor by which `heartbeat_timeout` is longer for a host that is no reader.
    int follower_heartbeat_timeout_factor = 3;
    /// Time after which a host that was succeeded may claim the stewardship again.
    std::chrono::milliseconds reclaim_delay{3'000};
    /// Interval between two plans that balance load.
    std::chrono::milliseconds balance_interval{500};
    /// Time after becoming steward from which load is balanced even if speeds are unknown.
    std::chrono::milliseconds max_speed_wait{4'000};
    /// Time after a move in which the balancer ignores the upstreams that took part in it.
    std::chrono::milliseconds move_cooldown{1'500};
    /// Time after the last new upstream before the keys of a new service are granted.
    std::chrono::milliseconds initial_grant_delay{1'000};
    /// Share by which an upstream's clock may run slow, with a margin for message delays.
    double clock_error = 0.04;
    cw_key_plan_options plan;

    /// Length of the leases for a service whose callers have full use of a response within the
    /// given time. An upstream ends a request in failure if it runs for longer than the lease that
    /// was in force when it began, whatever renewals follow.
    [[nodiscard]] std::chrono::milliseconds
    lease_for_requests(std::chrono::milliseconds longest_target) const {
        const auto wanted =
            std::min(longest_target + renewal_interval + max_renewal_delay, max_request_lease);
        return std::min(std::max(lease, wanted), std::max(lease, tenure));
    }
    /// Maximum time for which a lease of the given length may be in force after the grant has
    /// arrived: its length and the clock error.
    [[nodiscard]] std::chrono::milliseconds max_lease(std::chrono::milliseconds length) const {
        return length + std::chrono::duration_cast<std::chrono::milliseconds>(length * clock_error);
    }
};
