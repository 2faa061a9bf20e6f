#pragma once

#include "cw_crash_tracker.h"
#include "cw_time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

/// What a router knows of requests that upstreams died of: its own experience, and what the keepers
/// have gathered from all routers. Safe to call from any thread.
class cw_crash_filter {
public:
    /// Called with each piece of news for the keeper: fingerprint, address of the upstream, and
    /// whether the request was answered after all.
    using reporter = std::function<void(std::uint64_t, const std::string&, bool)>;

    explicit cw_crash_filter(cw_crash_options options)
        : tracker_{options} {}

    void set_reporter(reporter report) { report_ = std::move(report); }

    /// True while any request is marked; otherwise no fingerprint needs to be worked out.
    [[nodiscard]] bool has_suspects() const {
        return has_suspects_.load(std::memory_order_relaxed);
    }
    /// End of the time in which the request is refused; a past time when it may run.
    [[nodiscard]] cw_time_point refused_until(std::uint64_t fingerprint) const;
    /// The same for a request that belongs to a key, which also pauses after its first crashes.
    [[nodiscard]] cw_time_point keyed_refused_until(std::uint64_t fingerprint) const;
    void on_crash(std::uint64_t fingerprint, const std::string& address, cw_time_point now);
    void on_answer(std::uint64_t fingerprint);
    /// Takes over the numbers of crashes that the keeper stated.
    void set_shared_counts(cw_crash_counts counts, cw_time_point now);

private:
    mutable std::mutex mutex_;
    cw_crash_tracker tracker_;
    cw_crash_counts shared_counts_;
    std::atomic<bool> has_suspects_{false};
    reporter report_;
};
