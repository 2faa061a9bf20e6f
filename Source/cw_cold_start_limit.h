#pragma once

#include "cw_boot_clock.h"

#include <chrono>

/// One host's part of the requests that a cold upstream may get: a token bucket of one token.
///
/// The bucket starts with a random fill, so that hosts which learn of the cold upstream together
/// admit requests in turn. A token that is not used for `max_unused_time` is lost, and the bucket
/// starts empty again. Otherwise hosts without requests would hold ever more tokens and could use
/// them all within one second when load arrives.
class cw_cold_start_limit {
public:
    /// `draw` is a random number from 0 up to 1.
    cw_cold_start_limit(double draw, cw_boot_time now)
        : fill_{draw},
          updated_at_{now} {}

    /// True if a request may be sent now. `rate` is this host's part of the target rate in requests
    /// a second; 0 admits nothing.
    [[nodiscard]] bool admits(double rate, cw_boot_time now);
    /// A request for which admits() was true is sent.
    void on_sent() { fill_ -= 1.0; }
    /// Time until a request will be admitted if no other request takes the token; 0 if one is
    /// admitted now, the maximum at rate 0.
    [[nodiscard]] std::chrono::nanoseconds admission_delay(double rate, cw_boot_time now);

    /// With 0.5 s, a load that rises suddenly on all hosts finds the tokens of half a second beside
    /// the one that it is admitted in: a mean of 1.5 times the target rate.
    static constexpr std::chrono::milliseconds max_unused_time{500};

private:
    void advance(double rate, cw_boot_time now);

    /// Part of a token; negative after a request that was sent without one.
    double fill_;
    /// Time in seconds for which the token has been complete and unused.
    double unused_seconds_ = 0.0;
    cw_boot_time updated_at_;
};

/// Requests a second that all hosts together aim to send to a cold upstream which tolerates
/// `cold_rate`, so that it gets at most `cold_rate` x `overage` + `slack` in any second.
///
/// Hosts send independently of one another, so the requests of one second vary like a Poisson
/// count. The rate is below the bound by six standard deviations of such a count.
[[nodiscard]] double cw_cold_target_rate(double cold_rate, double overage, double slack);
