#pragma once

#include "cw_answer_metadata.h"
#include "cw_boot_clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

/// Load and service time of one upstream, estimated by one host from the upstream's answers.
///
/// Many hosts share an upstream's few slots. Each answer reports how many requests run and wait
/// there; the part of other hosts is the reported load without this host's requests in flight, and
/// decays until the next report. An answer may also report that work currently takes longer there
/// than usual. The expected time is multiplied by this slowdown, which soon is out of date and
/// decays to 1.
class cw_upstream_stats {
public:
    /// A request was sent. Each call is followed by one call of the functions below that end it:
    /// on_answer(), on_busy(), on_failure(), on_shed(), on_oversized_answer() or
    /// on_ignored_result().
    void on_sent() { ++in_flight_; }
    /// The upstream ran a request. `latency` is the time from sending to the complete answer.
    /// Returns the estimated service time in seconds at the speed at which the request ran: the
    /// latency without the wait for a slot.
    double on_answer(std::chrono::nanoseconds latency, std::optional<cw_reported_load> load,
                     cw_boot_time now);
    /// Another host passed on that `requests` ran or waited at the upstream at the given time.
    /// Ignored if this host knows a later load.
    void on_shared_load(std::uint32_t requests, cw_boot_time stated_at);
    /// The upstream refused a request because it is busy.
    void on_busy(std::optional<cw_reported_load> load, cw_boot_time now);
    /// The connection failed, or the answer was late or invalid.
    void on_failure(cw_boot_time now);
    /// The upstream shed a request: it closed the connection without a response. Counts as a
    /// failure and starts a backoff, which doubles up to two times until an answer arrives.
    ///
    /// Guards against overloading the owner of popular keys: an owner that sheds load in this way
    /// reports neither its load nor a retry-after time.
    void on_shed(cw_boot_time now);
    /// The answer was cut because it, or all answers together, exceeded a limit. Counts as a
    /// failure and starts a backoff at once, which doubles up to two times until an answer arrives.
    void on_oversized_answer(cw_boot_time now);
    /// A request ended in a way that gives no information about the load: the caller left, or the
    /// upstream does not own the key.
    void on_ignored_result() { --in_flight_; }
    /// An answer reported an invalid load. Returns true for the first one, which is to be logged.
    [[nodiscard]] bool on_invalid_load() { return !std::exchange(has_invalid_load_, true); }

    /// Estimated number of requests at the upstream, running and waiting.
    [[nodiscard]] double load(cw_boot_time now) const;
    /// Expected time to the answer of the next request, its wait for a slot included, at the speed
    /// that the upstream is assumed to have now; one hour at most. `slots` is the number of
    /// requests that the upstream runs at the same time.
    [[nodiscard]] std::chrono::nanoseconds expected_time(std::uint32_t slots,
                                                         cw_boot_time now) const;
    /// Smoothed time that a request takes once it runs, at the usual speed; an assumed value before
    /// the first answer.
    [[nodiscard]] std::chrono::nanoseconds service_time() const;
    /// True from the first answer.
    [[nodiscard]] bool has_responded() const { return answers_ > 0; }
    /// How much the smoothed service time says about the upstream, from 0 without an answer to 1.
    [[nodiscard]] double certainty() const {
        return static_cast<double>(answers_) / enough_answers;
    }
    /// True if the upstream is or was avoided after failures and has not answered since.
    [[nodiscard]] bool awaits_recovery() const;
    /// True while the upstream should be skipped if there are others, after failures or a refusal.
    [[nodiscard]] bool is_avoided(cw_boot_time now) const { return now < avoided_until_; }
    /// End of the backoff after shed requests or oversized answers; a past time when there is none.
    /// It applies to requests that only this upstream can run, because it owns their key.
    [[nodiscard]] cw_boot_time shedding_until() const { return shedding_until_; }
    /// Extends the time for which the upstream accepts no requests, as its Retry-After states.
    void set_retry_after(cw_boot_time until) { retry_after_ = std::max(retry_after_, until); }
    /// End of the time for which the upstream accepts no requests; a past time if it accepts them.
    [[nodiscard]] cw_boot_time retry_after() const { return retry_after_; }
    [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }
    /// True if another request would have to wait there, by a load that was stated a moment ago.
    /// Always false for upstreams that do not state how slow their machines are, whose loads are
    /// not passed on among hosts.
    [[nodiscard]] bool is_known_to_be_full(std::uint32_t slots, cw_boot_time now) const;

private:
    /// Answers after which the smoothed service time depends little on the first of them.
    static constexpr std::uint32_t enough_answers = 16;

    void record_load(std::optional<cw_reported_load> load, cw_boot_time now);
    /// Seconds since the last report of the load.
    [[nodiscard]] double report_age(cw_boot_time now) const;
    /// Time that work takes now, relative to the usual.
    [[nodiscard]] double slowdown(cw_boot_time now) const;

    std::uint32_t in_flight_ = 0;
    /// Requests of other hosts at the time of the last report.
    double other_hosts_load_ = 0.0;
    /// Time that work took at the time of the last report, relative to the usual.
    double reported_slowdown_ = 1.0;
    cw_boot_time load_reported_at_{};
    /// True if the last load is one that hosts pass on.
    bool is_load_shared_ = false;
    bool has_invalid_load_ = false;
    /// Smoothed service time in seconds; 0 before the first answer.
    double service_seconds_ = 0.0;
    /// Number of answers, at most `enough_answers`.
    std::uint32_t answers_ = 0;
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t consecutive_sheds_ = 0;
    std::uint32_t consecutive_oversized_ = 0;
    cw_boot_time shedding_until_{};
    cw_boot_time avoided_until_{};
    cw_boot_time retry_after_{};
};
