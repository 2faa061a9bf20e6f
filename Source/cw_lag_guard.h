#pragma once

#include "cw_boot_clock.h"

#include <chrono>
#include <cstdint>
#include <random>

/// Limits of a lag guard.
struct cw_lag_guard_options {
    /// Lag from which a copy is read from the store. Above the lag of a follower whose reader reads
    /// the store without delays; below the shortest time in which a change has to be in force, less
    /// the time of the read.
    std::chrono::milliseconds max_lag{1'250};
    /// Upper bound of a random addition, so that many hosts that lose their source do not all call
    /// the store at the same moment.
    std::chrono::milliseconds max_spread{150};
    /// Time from the end of a read that was answered, even by a refusal, until the next one may
    /// start.
    std::chrono::milliseconds retry_interval{900};
    /// The same after a read that was not answered in time, which takes long itself: the next one
    /// uses another connection, and may succeed at once.
    std::chrono::milliseconds unanswered_retry_interval{200};
};

/// How a read of the store has ended.
enum class cw_lag_read_result { answered, refused, unanswered };

/// Decides when a host reads one kind of data, upstream entries or the configuration, from the
/// store because its copy lags, whatever its source is and whatever it waits for there.
///
/// Each wait for a source has a limit of its own, but several waits may follow one another. The
/// guard bounds their sum.
///
/// A deterministic state machine: it reads no clock and does no I/O.
class cw_lag_guard {
public:
    /// `seed` seeds the random addition to the limit.
    cw_lag_guard(cw_lag_guard_options options, std::uint64_t seed);

    /// True when a read must start now, since the copy's lag is `lag`. It must be followed by
    /// on_read_ended().
    [[nodiscard]] bool take_due_read(std::chrono::milliseconds lag, cw_boot_time now);
    /// Records how the read has ended.
    void on_read_ended(cw_lag_read_result result, cw_boot_time now);

private:
    void draw_limit();

    cw_lag_guard_options options_;
    std::minstd_rand engine_;
    /// Lag from which the next read starts.
    std::chrono::milliseconds limit_{0};
    bool is_reading_ = false;
    /// No read starts before this.
    cw_boot_time next_read_at_{};
};
