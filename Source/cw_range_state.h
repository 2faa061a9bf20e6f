#pragma once

#include "cw_boot_clock.h"
#include "cw_key_table.h"

#include <cstdint>
#include <string>
#include <vector>

/// An upstream that may still hold keys of a moving range.
struct cw_key_holder {
    cw_key_owner upstream;
    /// Latest end of the leases that this host granted.
    cw_boot_time lease_end{};
    cw_boot_time next_release{};
    /// Fence of the release that was sent; 0 if none can have arrived. No second release is sent:
    /// an upstream would answer it at once, although work that the first one waits for still runs.
    std::uint64_t release_fence = 0;
    /// True if an earlier steward may have sent a release. The answer to a further release then
    /// shows only that the upstream holds no new lease: work under the released lease may continue
    /// until that lease would have expired.
    bool has_earlier_release = false;
    /// Latest time at which that work may run; the clock's epoch while it is unknown.
    cw_boot_time work_end{};
    /// True if the upstream can no longer hold keys of the range.
    bool is_released = false;
};

/// A steward's state of one range, which is not part of the key table.
struct cw_range_state {
    /// Previous owners that may still hold keys of the range.
    std::vector<cw_key_holder> holders;
    /// Token that the last holder returned with its release; may be empty.
    std::string handover;
    /// Latest end of the leases that this host granted to the owner.
    cw_boot_time lease_end{};
    /// Earliest time of the next grant to the owner.
    cw_boot_time next_command{};
    /// True if the owner has confirmed a grant with the range's fence.
    bool is_confirmed = false;
    /// True if the owner refused a grant because it has seen a higher fence. It gets no further
    /// grant with the range's present fence: once it is restarted, it would accept one.
    bool is_fenced = false;
    /// Fences that the owner has refused in a row.
    std::uint32_t refused_fences = 0;
};

/// The state of a range of a new table, derived from the previous table `known` and the states of
/// its ranges, which are in the same order.
[[nodiscard]] cw_range_state cw_next_range_state(const cw_key_range& range,
                                                 const cw_key_table& known,
                                                 const std::vector<cw_range_state>& states);
