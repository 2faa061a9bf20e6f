#pragma once

#include "cw_limit_report.h"
#include "cw_limit_share.h"
#include "cw_rate_limit.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

struct cw_upstream_entry;

/// The request rates that upstreams have limited, and this host's part of each. Safe to use from
/// any thread.
class cw_limit_table {
public:
    /// What an answer has changed.
    enum class change { none, named, lifted };

    /// An answer of the upstream named a limit in requests per second, or none. Here and below,
    /// `draw` is a random number from 0 up to 1.
    change on_answer(const cw_upstream_entry& upstream, std::optional<double> limit, double draw,
                     cw_boot_time now);
    /// This host has a request for the upstream. True if it may be sent now.
    [[nodiscard]] bool admits(const cw_upstream_entry& upstream, double draw, cw_boot_time now);
    /// A request for which admits() was true is sent.
    void on_sent(const cw_upstream_entry& upstream);
    /// Time after which a request will probably be admitted; 0 without a limit.
    [[nodiscard]] std::chrono::milliseconds retry_delay(const cw_upstream_entry& upstream,
                                                        cw_boot_time now) const;

    /// The known limits, for the host that collects them. Called at regular intervals.
    [[nodiscard]] std::vector<cw_limit_report> take_reports(cw_boot_time now);
    /// Applies the shares that the collecting host has given, and the number of hosts that may use
    /// an upstream.
    void apply(std::uint32_t hosts, const std::vector<cw_limit_share>& shares, cw_boot_time now);
    /// Number of hosts that may use an upstream; 0 while it is unknown.
    [[nodiscard]] std::uint32_t hosts() const;
    /// Number of upstreams with a limit.
    [[nodiscard]] std::size_t size() const;
    /// True if no upstream has a limit.
    [[nodiscard]] bool is_empty() const { return is_empty_; }

private:
    /// Id and incarnation of an upstream.
    using upstream_key = std::pair<std::string, std::uint64_t>;

    void forget_unused(cw_boot_time now);

    mutable std::mutex mutex_;
    std::minstd_rand engine_{std::random_device{}()};
    std::map<upstream_key, cw_rate_limit> limits_;
    /// Number of hosts that may use an upstream; 0 while it is unknown.
    std::uint32_t hosts_ = 0;
    std::atomic<bool> is_empty_{true};
};
