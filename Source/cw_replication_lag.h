#pragma once

#include "cw_boot_clock.h"

#include <algorithm>
#include <chrono>
#include <utility>

/// Lag of a host's copy of one kind of the store's data: upstream entries or the configuration.
///
/// The copy is current as of a moment if it holds every change that the store had acknowledged by
/// then. The lag is the time since the latest such moment, so no change has been unknown here for
/// longer than the lag.
class cw_replication_lag {
public:
    /// Lag of a copy that has never been current.
    static constexpr std::chrono::milliseconds unknown = std::chrono::hours{1};

    /// Records at `now` that the copy is current as of `moment`. An earlier moment than the latest
    /// is ignored.
    void on_current_as_of(cw_boot_time moment, cw_boot_time now) {
        if (current_as_of_ != cw_boot_time{}) {
            peak_ = std::max(peak_, at(now));
        }
        current_as_of_ = std::max(current_as_of_, moment);
    }
    /// The latest moment as of which the copy is current; the clock's epoch for none.
    [[nodiscard]] cw_boot_time current_as_of() const { return current_as_of_; }
    /// The lag at `now`, at most `unknown`.
    [[nodiscard]] std::chrono::milliseconds at(cw_boot_time now) const {
        return current_as_of_ == cw_boot_time{}
                   ? unknown
                   : std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(
                                    now - current_as_of_),
                                std::chrono::milliseconds{0}, unknown);
    }
    /// The highest lag since the last call, at most `unknown`.
    [[nodiscard]] std::chrono::milliseconds take_peak(cw_boot_time now) {
        return std::max(std::exchange(peak_, std::chrono::milliseconds{0}), at(now));
    }

private:
    /// The clock's epoch until the copy has been current for the first time.
    cw_boot_time current_as_of_{};
    std::chrono::milliseconds peak_{0};
};
