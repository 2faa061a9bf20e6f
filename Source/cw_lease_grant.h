#pragma once

#include "cw_slice.h"
#include "cw_time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// One exchange with an upstream. Without a deadline it only asks for the clock and the held fence.
struct cw_lease_grant {
    std::string upstream;
    /// "IP:port" of the upstream.
    std::string address;
    std::uint64_t exchange = 0;
    /// Upstream process whose clock the deadline refers to.
    std::uint64_t incarnation = 0;
    std::uint64_t fence = 0;
    /// End of the lease by the upstream's own clock.
    std::optional<cw_upstream_time> deadline;
    /// The whole set of slices under this fence; absent when the upstream already holds the fence.
    std::optional<std::vector<cw_slice>> slices;
};
