#pragma once

#include "cw_lease_reply.h"
#include "cw_slice.h"
#include "cw_time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Fence and slices that are granted during a hand-over instead of those in the table.
struct cw_grant_override {
    std::uint64_t fence = 0;
    std::vector<cw_slice> slices;
};

/// State that one keeper has about the leases of one upstream.
struct cw_upstream_lease {
    std::string service;
    std::string address;
    /// Incarnation of the upstream's process, the latest reading of its clock, and when that
    /// reading was received.
    std::uint64_t incarnation = 0;
    cw_upstream_time clock{};
    std::optional<cw_time_point> clock_received;
    std::uint64_t held_fence = 0;
    bool draining = false;

    /// Latest end of any lease that this keeper may have granted.
    cw_time_point latest_lease_end{};
    /// Latest end of any lease granted in an exchange that failed or timed out without an answer.
    cw_time_point latest_unanswered_end{};
    std::uint64_t exchange = 0;
    cw_time_point exchange_sent{};
    cw_time_point next_send{};
    std::optional<cw_time_point> last_answer;
    /// Time since which the upstream does not answer; absent while it answers.
    std::optional<cw_time_point> unresponsive_since;
    std::uint32_t failures = 0;
    /// Until then this keeper renews the leases although another is primary, because the other
    /// cannot reach the upstream.
    cw_time_point acting_until{};
    cw_time_point deferring_until{};
    std::optional<cw_grant_override> override_grant;
    bool needs_slices = false;
};
