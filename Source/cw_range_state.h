#pragma once

#include "cw_boot_clock.h"
#include "cw_key_table.h"

#include <cstdint>
#include <string>
#include <vector>

/// An upstream that may still hold keys of a moving range.
struct cw_key_holder {
    cw_key_owner upstream;
    /// Latest end of what this host granted.
    cw_boot_time lease_end{};
    cw_boot_time next_release{};
    /// Fence of the release that was sent; 0 when none can have arrived. A second one would be
    /// answered at once, though work that the first has found still runs.
    std::uint64_t release_fence = 0;
    /// True when an earlier steward may have sent a release. The answer to another one then shows
    /// only that nothing new is held: work may run on until its lease is over.
    bool has_earlier_release = false;
    /// When that work has ended at the latest; the clock's beginning while it is not known.
    cw_boot_time work_end{};
    bool is_released = false;
};

/// What a steward knows of a range beyond the table.
struct cw_range_state {
    std::vector<cw_key_holder> holders;
    std::string handover;
    /// Latest end of what this host granted to the owner.
    cw_boot_time lease_end{};
    cw_boot_time next_command{};
    /// True when the owner has confirmed a grant under the range's fence.
    bool is_confirmed = false;
    /// True when the owner has seen a higher fence.
    bool is_fenced = false;
};

/// What is known of a range of the next table by a table whose ranges have these states, in their
/// order.
[[nodiscard]] cw_range_state cw_next_range_state(const cw_key_range& range,
                                                 const cw_key_table& known,
                                                 const std::vector<cw_range_state>& states);
