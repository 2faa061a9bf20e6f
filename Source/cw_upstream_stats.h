#pragma once

#include "cw_answer_metadata.h"
#include "cw_boot_clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

/// What one host knows of an upstream's load and speed, from its answers.
///
/// Many hosts share an upstream's few slots. Each answer tells how many requests run and wait
/// there; between answers the share of the other hosts is taken to stay as it was.
class cw_upstream_stats {
public:
    void on_sent() { ++in_flight_; }
    /// The upstream ran a request. `latency` is the time from sending to the whole answer. Returns
    /// the seconds of work that it stands for, without the wait for a slot.
    double on_answer(std::chrono::nanoseconds latency, std::optional<cw_reported_load> load,
                     cw_boot_time now);
    /// It had no room for a request.
    void on_busy(std::optional<cw_reported_load> load, cw_boot_time now);
    /// It did not answer as it should.
    void on_failure(cw_boot_time now);
    /// It closed the connection on a request without a word, as some do that are full.
    ///
    /// The load that it answers: popular keys whose owner sheds what it cannot take by closing
    /// connections, which tells neither its load nor when to come back.
    void on_shed(cw_boot_time now);
    /// A request was abandoned, or not run for a reason that says nothing about the load.
    void on_ignored_result() { --in_flight_; }

    /// Requests that are probably there, waiting ones included.
    [[nodiscard]] double load(cw_boot_time now) const;
    /// Time that the next request will probably take, its wait for a slot included.
    [[nodiscard]] std::chrono::nanoseconds expected_time(std::uint32_t slots,
                                                         cw_boot_time now) const;
    /// Time that a request takes once it runs.
    [[nodiscard]] std::chrono::nanoseconds service_time() const;
    /// True while it should be passed over when there are others.
    [[nodiscard]] bool is_avoided(cw_boot_time now) const { return now < avoided_until_; }
    /// End of the time for which nothing that only this upstream can run should be sent to it; a
    /// past time when there is none.
    [[nodiscard]] cw_boot_time shedding_until() const { return shedding_until_; }
    /// It wants no request until then.
    void set_retry_after(cw_boot_time until) { retry_after_ = std::max(retry_after_, until); }
    /// End of the pause that it asked for; a past time when there is none.
    [[nodiscard]] cw_boot_time retry_after() const { return retry_after_; }
    [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }

private:
    void record_load(std::optional<cw_reported_load> load, cw_boot_time now);

    std::uint32_t in_flight_ = 0;
    /// Requests of other hosts when it was last heard of.
    double other_hosts_load_ = 0.0;
    cw_boot_time load_reported_at_{};
    double service_seconds_ = 0.0;
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t consecutive_sheds_ = 0;
    cw_boot_time shedding_until_{};
    cw_boot_time avoided_until_{};
    cw_boot_time retry_after_{};
};
