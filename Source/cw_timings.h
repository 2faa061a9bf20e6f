#pragma once

#include <chrono>

/// Intervals and bounds of the ownership protocol. docs/OWNERSHIP.md derives them from the
/// one-second budget.
struct cw_timings {
    /// Interval between two lease renewals of one upstream.
    std::chrono::milliseconds renewal_interval{180};
    /// Length of a lease, counted from the granter's decision.
    std::chrono::milliseconds lease_duration{450};
    /// Length of a tenure, counted from the moment its confirmation was asked for.
    std::chrono::milliseconds tenure_duration{250};
    /// Interval between two requests for a promise to the same peer.
    std::chrono::milliseconds promise_request_interval{90};
    /// Silence after which an upstream or a peer is suspected.
    std::chrono::milliseconds suspicion_timeout{180};
    /// Interval between two attempts to reach a suspected upstream.
    std::chrono::milliseconds probe_interval{50};
    /// Silence after which a peer is removed from the ring.
    std::chrono::milliseconds removal_timeout{1500};
    /// Time a keeper waits before it repeats a store operation without a reply.
    std::chrono::milliseconds store_retry_interval{100};
    /// Age up to which a read shows that the store answers. Nothing that an outage would leave half
    /// done is begun without such a read.
    std::chrono::milliseconds max_store_read_age{400};
    /// Allowance for the difference of two clocks' rates over one lease.
    std::chrono::milliseconds max_clock_drift{5};
    /// Time a host must be missing from the platform's list before it counts as gone.
    std::chrono::milliseconds host_absence_timeout{10'000};

    /// Time after a ring change until every lease granted by a removed member has ended.
    [[nodiscard]] std::chrono::milliseconds settle_time() const {
        return tenure_duration + lease_duration + 2 * max_clock_drift;
    }
};
