#pragma once

#include "cw_crash_counts.h"
#include "cw_time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Limits for counting crashes and refusing the requests that are suspected of them.
struct cw_crash_options {
    /// Number of crashes from which the request is refused.
    std::uint32_t max_crashes = 3;
    /// Duration of the first refusal; it doubles with each further crash, up to `max_block_time`.
    std::chrono::milliseconds initial_block_time{60'000};
    std::chrono::milliseconds max_block_time{900'000};
    /// Time without a further crash after which a request is no longer suspected.
    std::chrono::milliseconds retention_time{1'800'000};
    /// Time after a crash during which a request with a key is refused. Without it the request
    /// would crash the next owner as soon as one is assigned, before that owner can serve other
    /// callers of its keys. The time is longer than the replacement of a lost owner takes, and
    /// short enough that a request which only ran concurrently with the crash is served again
    /// within a second.
    std::chrono::milliseconds keyed_block_time{850};
    /// Reports of crashes at one address within this time are counted as one crash that several
    /// routers saw.
    std::chrono::milliseconds duplicate_window{400};
};

/// Counts the crashes of upstreams by the fingerprint of the request that they were running, and
/// decides how long such a request is refused.
///
/// All requests that ran concurrently on a crashed upstream are suspected, so a fingerprint is
/// cleared as soon as one of its requests is answered.
class cw_crash_tracker {
public:
    explicit cw_crash_tracker(cw_crash_options options)
        : options_{options} {}

    /// Counts a crash of the upstream at the address ("IP:port") while it ran the request; false
    /// when this crash has already been counted.
    bool on_crash(std::uint64_t fingerprint, const std::string& address, cw_time_point now);
    /// Clears a request that was answered; false when it was not suspected.
    bool on_answer(std::uint64_t fingerprint);
    /// Raises the number of crashes to the count of other hosts; a lower count changes nothing.
    void raise_count(std::uint64_t fingerprint, std::uint32_t crash_count, cw_time_point now);
    /// Time until which the request is refused; in the past when it may run.
    [[nodiscard]] cw_time_point refused_until(std::uint64_t fingerprint) const;
    /// The same for a request with a key, which is also refused for `keyed_block_time` after each
    /// crash.
    [[nodiscard]] cw_time_point keyed_refused_until(std::uint64_t fingerprint) const;
    /// Number of crashes counted for the request; 0 when it is not suspected.
    [[nodiscard]] std::uint32_t crash_count(std::uint64_t fingerprint) const;
    /// All suspected requests with the number of their crashes.
    [[nodiscard]] cw_crash_counts counts() const;
    /// Removes requests whose retention time is over and that are no longer refused.
    void remove_expired(cw_time_point now);
    [[nodiscard]] bool empty() const { return entries_.empty(); }

private:
    struct entry {
        std::uint32_t crash_count = 0;
        std::uint32_t block_count = 0;
        cw_time_point blocked_until{};
        cw_time_point last_crash{};
        std::map<std::string, cw_time_point> last_crash_by_address;
    };

    entry& find_or_insert(std::uint64_t fingerprint);
    void record_crash_count(entry& item, std::uint32_t crash_count, cw_time_point now) const;

    static constexpr std::size_t max_entries = 4'096;

    cw_crash_options options_;
    std::map<std::uint64_t, entry> entries_;
};
