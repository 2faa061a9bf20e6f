#pragma once

#include "cw_slice.h"
#include "cw_time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// A request that grants a lease to an upstream. Without a deadline it is a probe that only queries
/// the clock and the held fence.
struct cw_lease_grant {
    std::string upstream;
    /// "IP:port" of the upstream.
    std::string address;
    std::uint64_t exchange = 0;
    /// Upstream process whose clock the deadline refers to.
    std::uint64_t incarnation = 0;
    std::uint64_t fence = 0;
    /// End of the lease on the upstream's own clock.
    std::optional<cw_upstream_time> deadline;
    /// All slices under this fence; absent if the upstream already holds the fence.
    std::optional<std::vector<cw_slice>> slices;
};
