#pragma once

#include "cw_boot_clock.h"

#include <chrono>
#include <cstdint>
#include <string>

/// Entry of one incarnation of an upstream, that is one start of its process, as it announced
/// itself.
struct cw_upstream_entry {
    std::string id;
    std::string service;
    /// "IP:port".
    std::string address;
    /// Failure domain.
    std::string domain;
    /// Requests that it processes at the same time.
    std::uint32_t slots = 1;
    /// True when it has announced its shutdown.
    bool leaving = false;
    /// Time at which its warm-up ends; the clock's epoch if it is not warming up.
    cw_boot_time warm_at{};
    /// Start time of the process in microseconds, or any other number that increases with each
    /// start.
    std::uint64_t incarnation = 0;
    /// Rises with each write of the entry by the same incarnation; 0 if the entry names none.
    std::uint64_t sequence = 0;

    /// Largest delay of the end of the warm-up that is attributed to the time for which entries are
    /// on their way.
    static constexpr std::chrono::milliseconds warm_up_tolerance{500};

    /// True if it differs from an earlier entry of the same id in more than its remaining warm-up
    /// and its sequence, which change with each heartbeat, or if its warm-up ends later.
    [[nodiscard]] bool differs_from(const cw_upstream_entry& earlier) const {
        auto same = earlier;
        same.warm_at = warm_at;
        same.sequence = sequence;
        return *this != same || warms_later_than(earlier);
    }

    /// True if the end of the warm-up is later than that of an earlier entry by more than the
    /// tolerance: the upstream is cold again. An entry that is read a second time states the
    /// remaining time as of its write and so does not count.
    [[nodiscard]] bool warms_later_than(const cw_upstream_entry& earlier) const {
        const bool is_same_write = incarnation != 0 && incarnation == earlier.incarnation &&
                                   sequence != 0 && sequence == earlier.sequence;
        return !is_same_write && warm_at > earlier.warm_at + warm_up_tolerance;
    }

    friend bool operator==(const cw_upstream_entry&, const cw_upstream_entry&) = default;
};
