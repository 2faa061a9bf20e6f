#pragma once

#include "cw_time.h"

#include <cstdint>
#include <string>

/// How an upstream answered a grant.
enum class cw_lease_outcome {
    /// The lease or the probe was taken.
    accepted,
    /// The upstream holds a higher fence.
    stale_fence,
    /// The upstream does not hold the fence and needs its slices.
    need_slices,
    /// The deadline refers to the clock of an earlier process.
    wrong_incarnation,
    /// No answer, or none that can be read. The grant may have been taken all the same.
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
    /// True when the upstream has announced that it will stop.
    bool draining = false;
};
