#pragma once

#include "cw_crash_counts.h"
#include "cw_time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// How long crashes are remembered and requests refused.
struct cw_crash_options {
    /// Crashes after which the request is refused.
    std::uint32_t max_crashes = 3;
    /// First time of refusal; it doubles each time that the request crashes an upstream again.
    std::chrono::milliseconds initial_block_time{60'000};
    std::chrono::milliseconds max_block_time{900'000};
    /// Time without a further crash after which a request is forgotten.
    std::chrono::milliseconds retention_time{1'800'000};
    /// Time after a crash in which a request that belongs to a key is not run again. Without it the
    /// next owner is lost as soon as it is found, before other callers of its keys have a turn. The
    /// time is longer than the loss of an owner takes, and short enough that a request which merely
    /// ran beside the crash is served again within a second.
    std::chrono::milliseconds keyed_block_time{850};
    /// Crashes at one address within this time are one crash that several routers saw.
    std::chrono::milliseconds duplicate_window{400};
};

/// Requests that upstreams died of, by fingerprint.
///
/// Whatever runs beside such a request is marked with it, so a fingerprint counts only as long as
/// it is never answered.
class cw_crash_tracker {
public:
    explicit cw_crash_tracker(cw_crash_options options)
        : options_{options} {}

    /// Notes that the upstream at the address died while it ran the request; false when this crash
    /// is known.
    bool on_crash(std::uint64_t fingerprint, const std::string& address, cw_time_point now);
    /// The request was answered, so it is none of these; false when nothing was known of it.
    bool on_answer(std::uint64_t fingerprint);
    /// Raises the number of crashes to what others have counted; a lower number changes nothing.
    void raise_count(std::uint64_t fingerprint, std::uint32_t crash_count, cw_time_point now);
    /// End of the time in which the request is refused; a past time when it is not.
    [[nodiscard]] cw_time_point refused_until(std::uint64_t fingerprint) const;
    /// The same for a request that belongs to a key, which also pauses after its first crashes.
    [[nodiscard]] cw_time_point keyed_refused_until(std::uint64_t fingerprint) const;
    [[nodiscard]] std::uint32_t crash_count(std::uint64_t fingerprint) const;
    /// Marked requests with the number of their crashes.
    [[nodiscard]] cw_crash_counts counts() const;
    /// Forgets what has lapsed.
    void on_tick(cw_time_point now);
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
