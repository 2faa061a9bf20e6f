#pragma once

#include "cw_boot_clock.h"
#include "cw_limit_report.h"
#include "cw_limit_share.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Divides the request rates that upstreams limit among the hosts that use these upstreams.
///
/// One host collects how many requests all hosts have for such an upstream, and tells all of them
/// the same share of these requests to send. Hosts that it does not hear from may know the limit
/// and use an equal part of it each, so that much is left to them: to hosts in a failure domain
/// that is cut off, and to hosts that follow another collector.
///
/// A deterministic state machine: it reads no clock and does no I/O. Its work per report does not
/// depend on the number of hosts.
class cw_limit_collector {
public:
    /// The number of hosts, as another collector has counted them; 0 is ignored.
    void on_host_count(std::uint32_t hosts, cw_boot_time now);
    /// A host reports the limits that it knows. It counts as present for `host_timeout`.
    void on_report(const std::string& host, const std::vector<cw_limit_report>& reports,
                   cw_boot_time now);
    /// The shares for a host that has sent the given reports: those of the upstreams in them, and
    /// of those whose limit has been named or lifted within `news_time`.
    [[nodiscard]] std::vector<cw_limit_share>
    shares_for(const std::vector<cw_limit_report>& reports, cw_boot_time now);
    /// Number of hosts that may use an upstream: the present ones, or as many as were known at one
    /// time within the last 5 to 10 minutes.
    [[nodiscard]] std::uint32_t hosts(cw_boot_time now);

    static constexpr std::chrono::milliseconds host_timeout{2'000};
    static constexpr std::chrono::milliseconds news_time{2'000};

private:
    /// Id and incarnation of an upstream.
    using upstream_key = std::pair<std::string, std::uint64_t>;

    static constexpr std::chrono::milliseconds slot_length{250};
    /// Slots over which the demand is counted, and of these the ones that show a sudden rise.
    static constexpr std::size_t counted_slots = 8;
    static constexpr std::size_t recent_slots = 2;
    /// Time after the first report on an upstream from which the demand of all hosts is known.
    static constexpr std::chrono::milliseconds learning_time{1'000};

    struct upstream_limit {
        std::optional<double> limit;
        cw_boot_time observed_at{};
        /// When the limit was named or lifted, as this host learned of it.
        cw_boot_time changed_at{};
        cw_boot_time first_report_at{};
        /// Requests of all hosts by slot of time; the current slot is not complete.
        std::array<std::uint64_t, counted_slots + 1> wanted{};
        std::int64_t current_slot = 0;
    };

    void record(const cw_limit_report& report, cw_boot_time now);
    static void advance(upstream_limit& upstream, cw_boot_time now);
    /// Requests per second of all hosts that report.
    static double demand(const upstream_limit& upstream);
    [[nodiscard]] std::optional<double> admitted_share(upstream_limit& upstream, cw_boot_time now);
    /// Removes hosts that no longer report, and limits that are out of date.
    void expire(cw_boot_time now);

    /// Limit of the upstreams that are remembered; limits of others are not divided.
    static constexpr std::size_t max_upstreams = 4'096;

    std::map<upstream_key, upstream_limit> upstreams_;
    /// Time of the last report, by host.
    std::map<std::string, cw_boot_time> last_reports_;
    cw_boot_time next_expiry_{};
    /// Highest number of hosts in the current and in the last period.
    std::uint32_t peak_hosts_ = 0;
    std::uint32_t last_peak_hosts_ = 0;
    cw_boot_time peak_period_end_{};
};
