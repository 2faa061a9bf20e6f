#pragma once

#include "cw_call_deadlines.h"

#include <algorithm>
#include <chrono>

/// Deadlines of the answers to a host's reports, which bring changes of a key table.
///
/// An answer that keeps coming is not cut as early as a steward that sends nothing is given up. One
/// that was cut nevertheless would be cut again, so the next one may take twice the time.
class cw_table_transfer {
public:
    using milliseconds = std::chrono::milliseconds;

    /// Time limit of an answer; hosts whose reports are 2 s apart count as lost.
    static constexpr milliseconds first_limit{1'500};
    /// The longest time limit, after answers that were cut.
    static constexpr milliseconds max_limit{12'000};
    /// Longest pause of an answer that has begun.
    static constexpr milliseconds longest_pause{500};

    /// Deadlines of a report that is sent at `now`, whose answer begins within `silence` unless the
    /// steward has failed.
    [[nodiscard]] cw_call_deadlines deadlines(milliseconds silence, cw_time_point now) const {
        return {now + silence, now + limit_, longest_pause, true};
    }
    /// Records that an answer was complete.
    void on_received() { limit_ = first_limit; }
    /// Records that an answer was cut after it had begun.
    void on_cut() { limit_ = std::min(2 * limit_, max_limit); }

private:
    milliseconds limit_{first_limit};
};
