#pragma once

#include "cw_crash_tracker.h"
#include "cw_time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

/// Refuses requests that are suspected of crashing upstreams. Combines the crashes that this
/// process has seen with the counts that are collected from all hosts. Safe to call from any
/// thread.
class cw_crash_filter {
public:
    /// Called with each change to report: fingerprint of the request, address of the crashed
    /// upstream (empty for an answer), and whether the request was answered.
    using reporter = std::function<void(std::uint64_t, const std::string&, bool)>;

    explicit cw_crash_filter(cw_crash_options options)
        : tracker_{options} {}

    /// Sets the function to call with changes; must be set before the first crash or answer.
    void set_reporter(reporter report) { report_ = std::move(report); }

    /// True while any request is suspected; otherwise no fingerprint needs to be computed.
    [[nodiscard]] bool has_suspects() const {
        return has_suspects_.load(std::memory_order_relaxed);
    }
    /// Time until which the request is refused; in the past when it may run.
    [[nodiscard]] cw_time_point refused_until(std::uint64_t fingerprint) const;
    /// The same for a request with a key, which is also refused for a short time after each of its
    /// first crashes.
    [[nodiscard]] cw_time_point keyed_refused_until(std::uint64_t fingerprint) const;
    /// Counts a crash of the upstream at the address ("IP:port") while it ran the request.
    void on_crash(std::uint64_t fingerprint, const std::string& address, cw_time_point now);
    /// Clears a suspected request, because an upstream has answered it.
    void on_answer(std::uint64_t fingerprint);
    /// Applies the counts collected from all hosts. Requests that are no longer among them are
    /// cleared.
    void set_shared_counts(cw_crash_counts counts, cw_time_point now);

private:
    mutable std::mutex mutex_;
    cw_crash_tracker tracker_;
    cw_crash_counts shared_counts_;
    std::atomic<bool> has_suspects_{false};
    reporter report_;
};
