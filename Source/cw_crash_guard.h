#pragma once

#include "cw_crash_ledger.h"
#include "cw_time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

/// What a router knows of requests that upstreams died of: its own experience, and what the keepers
/// have gathered from all routers. Safe to call from any thread.
class cw_crash_guard {
public:
    /// Called with each piece of news for the keeper: fingerprint, address of the upstream, and
    /// whether the request was answered after all.
    using reporter = std::function<void(std::uint64_t, const std::string&, bool)>;

    explicit cw_crash_guard(cw_crash_options options)
        : ledger_{options} {}

    void set_reporter(reporter report) { report_ = std::move(report); }

    /// True while any request is marked; otherwise no fingerprint needs to be worked out.
    [[nodiscard]] bool has_marks() const { return marked_.load(std::memory_order_relaxed); }
    /// End of the time in which the request is refused; a past time when it may run.
    [[nodiscard]] cw_time_point refused_until(std::uint64_t fingerprint) const;
    /// The same for a request that belongs to a key, which also pauses after its first crashes.
    [[nodiscard]] cw_time_point keyed_refused_until(std::uint64_t fingerprint) const;
    void on_crash(std::uint64_t fingerprint, const std::string& address, cw_time_point now);
    void on_answer(std::uint64_t fingerprint);
    /// Takes over the numbers of crashes that the keeper stated.
    void set_shared(cw_crash_marks crashes, cw_time_point now);

private:
    mutable std::mutex mutex_;
    cw_crash_ledger ledger_;
    cw_crash_marks shared_counts_;
    std::atomic<bool> marked_{false};
    reporter report_;
};
