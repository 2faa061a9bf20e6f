#pragma once

#include "cw_boot_clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

struct cw_limit_share;

/// One host's part of the rate that an upstream takes from all hosts together.
///
/// A host sends the share of its requests that the collecting host has last named, which knows the
/// demand of all hosts, for as long as that is valid, and no more than a few times an equal part of
/// the limit, since the collecting host learns of a sudden rise late. Without a share it sends at
/// an equal part. Such a part may be far below one request per second; credit for less than one
/// request then admits a request at random with this probability, and the host owes the rest.
class cw_rate_limit {
public:
    /// An answer of the upstream named this limit, or none. `draw` is a random number from 0 up to
    /// 1, so that hosts which learn of a limit together do not send in step.
    void on_observed(std::optional<double> limit, double draw, cw_boot_time now);
    /// The host was told a share. What it says about the limit counts if it is newer than the
    /// host's own knowledge.
    void on_share(const cw_limit_share& share, double draw, cw_boot_time now);

    /// The limit of all hosts together; none if the upstream names none.
    [[nodiscard]] const std::optional<double>& limit() const { return limit_; }
    [[nodiscard]] cw_boot_time observed_at() const { return observed_at_; }
    /// The host has a request for the upstream. True if it may be sent now. `hosts` is the number
    /// of hosts that may use the upstream, 0 if it is unknown, in which case a host without a share
    /// sends nothing. `draw` is a random number from 0 up to 1.
    [[nodiscard]] bool admits(std::uint32_t hosts, double draw, cw_boot_time now);
    /// The request for which admits() was last true is sent.
    void on_sent();
    /// Time after which a refused request may come again.
    [[nodiscard]] std::chrono::milliseconds retry_delay(cw_boot_time now) const;
    /// Requests that the host had for the upstream since the last call.
    [[nodiscard]] std::uint32_t take_wanted();

    /// Lower and upper limit of retry_delay().
    static constexpr std::chrono::milliseconds min_retry_delay{250};
    static constexpr std::chrono::milliseconds max_retry_delay{2'000};
    /// Time for which a share is valid after the host has received it.
    static constexpr std::chrono::milliseconds share_validity{1'500};

private:
    /// Replaces the known limit. A host that has just learned of a limit has no credit.
    void set_limit(std::optional<double> limit, cw_boot_time observed_at, double draw,
                   cw_boot_time now);
    [[nodiscard]] bool has_share(cw_boot_time now) const { return now < share_valid_until_; }
    void add_credit(std::uint32_t hosts, cw_boot_time now);

    std::optional<double> limit_;
    cw_boot_time observed_at_{};
    double share_ = 0.0;
    cw_boot_time share_valid_until_{};
    /// Sum of the shares of the requests so far, less the requests that were sent.
    double share_balance_ = 0.0;
    /// Credit in requests; negative after a request that was admitted at random.
    double credit_ = 0.0;
    cw_boot_time credit_added_at_{};
    std::uint32_t wanted_ = 0;
};

/// Requests per second that all hosts together aim to send to an upstream with the given limit.
/// Below the limit, since hosts learn of a rising demand late, and never 0, since no answer would
/// then tell that the limit is gone.
[[nodiscard]] double cw_target_rate(double limit);
