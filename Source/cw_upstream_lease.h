#pragma once

#include "cw_lease_reply.h"
#include "cw_slice.h"
#include "cw_time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// A fence and a set of slices that are granted in place of what the table says, during a
/// hand-over.
struct cw_grant_override {
    std::uint64_t fence = 0;
    std::vector<cw_slice> slices;
};

/// What one keeper knows of the leases of one upstream.
struct cw_upstream_lease {
    std::string service;
    std::string address;
    /// Process of the upstream, and its clock with the moment at which the reading was received.
    std::uint64_t incarnation = 0;
    cw_upstream_time clock{};
    std::optional<cw_time_point> clock_received;
    std::uint64_t held_fence = 0;
    bool draining = false;

    /// Latest end of any lease that this keeper may have granted.
    cw_time_point latest_lease_end{};
    /// Latest end of any lease granted in an exchange that was given up without an answer.
    cw_time_point latest_unanswered_end{};
    std::uint64_t exchange = 0;
    cw_time_point exchange_sent{};
    cw_time_point next_send{};
    std::optional<cw_time_point> last_answer;
    /// Start of the present silence; absent while the upstream answers.
    std::optional<cw_time_point> unresponsive_since;
    std::uint32_t failures = 0;
    /// Until then this keeper renews although another is primary, since the other cannot reach it.
    cw_time_point acting_until{};
    cw_time_point deferring_until{};
    std::optional<cw_grant_override> override_grant;
    bool needs_slices = false;
};
