#pragma once

#include "cw_time.h"

#include <cstdint>
#include <string>

/// Result of a grant or probe sent to an upstream.
enum class cw_lease_outcome {
    /// The upstream accepted the lease or answered the probe.
    accepted,
    /// The upstream holds a higher fence.
    stale_fence,
    /// The upstream does not hold the fence and needs its slices.
    need_slices,
    /// The deadline refers to the clock of an earlier incarnation of the upstream.
    wrong_incarnation,
    /// The answer is missing or malformed. The upstream may still have accepted the grant.
    failed
};

/// The answer of an upstream to one exchange.
struct cw_lease_reply {
    std::string upstream;
    std::uint64_t exchange = 0;
    cw_lease_outcome outcome = cw_lease_outcome::failed;
    std::uint64_t incarnation = 0;
    /// The upstream's clock at the time of the answer.
    cw_upstream_time clock{};
    std::uint64_t held_fence = 0;
    /// True if the upstream has announced its shutdown.
    bool draining = false;
};
