#pragma once

#include <chrono>

/// Intervals and limits of the ownership protocol. docs/OWNERSHIP.md derives them from the budget
/// of one second within which a lost upstream must be replaced.
struct cw_timings {
    /// Interval between two lease renewals of one upstream.
    std::chrono::milliseconds renewal_interval{180};
    /// Length of a lease, counted from the keeper's decision to grant it.
    std::chrono::milliseconds lease_duration{450};
    /// Length of a tenure, counted from when its confirmation was requested.
    std::chrono::milliseconds tenure_duration{250};
    /// Interval between two requests for a promise to the same peer.
    std::chrono::milliseconds promise_request_interval{90};
    /// Time without a message after which an upstream or a peer is suspected to have failed.
    std::chrono::milliseconds suspicion_timeout{180};
    /// Interval between two attempts to reach a suspected upstream.
    std::chrono::milliseconds probe_interval{50};
    /// Time without a message after which a peer is removed from the ring.
    std::chrono::milliseconds removal_timeout{1500};
    /// Time a keeper waits before it repeats a store operation without a reply.
    std::chrono::milliseconds store_retry_interval{100};
    /// Age up to which an answered read shows that the store is available. An operation that a
    /// store outage could leave incomplete is started only after such a read.
    std::chrono::milliseconds max_store_read_age{400};
    /// Maximum divergence of two clocks over one lease.
    std::chrono::milliseconds max_clock_drift{5};
    /// Time for which a host must be missing from the platform's list before it is considered
    /// removed.
    std::chrono::milliseconds host_absence_timeout{10'000};

    /// Time after a ring change until every lease granted by a removed member has expired.
    [[nodiscard]] std::chrono::milliseconds settle_time() const {
        return tenure_duration + lease_duration + 2 * max_clock_drift;
    }
};
