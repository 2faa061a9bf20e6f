#pragma once

#include "cw_boot_clock.h"
#include "cw_error.h"
#include "cw_key_table.h"
#include "cw_log.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

class cw_gateway_metrics;

/// Logs the exchange between hosts and stewards: reports that fail, key tables that arrive late,
/// and the tables that a steward has sent; one line a second of each kind and service at most.
class cw_exchange_log {
public:
    using milliseconds = std::chrono::milliseconds;

    explicit cw_exchange_log(cw_gateway_metrics& metrics)
        : metrics_{metrics} {}

    /// A report to a steward, sent at `sent_at` by a host with the given copy, has failed.
    void report_failed(const std::string& service, const cw_key_table& known, const cw_error& error,
                       cw_boot_time sent_at, cw_boot_time now);
    /// A steward has answered a report that was sent at `sent_at`, in `bytes` bytes. The host's
    /// copy of the table was current as of the report before until now.
    void report_answered(const std::string& service, const cw_key_table& latest, std::size_t bytes,
                         cw_boot_time sent_at, cw_boot_time now);
    /// This host, a steward, answers a host that knows the given edition of its table with a text
    /// of `bytes` bytes, 0 if that edition is the latest. The text took `make_time` to make.
    void table_sent(const cw_key_table& latest, const std::string& service,
                    std::uint64_t known_edition, std::size_t bytes,
                    std::chrono::nanoseconds make_time, cw_boot_time now);
    /// This host is itself the steward of the service, or knows none: its copy has no lag.
    void on_no_report(const std::string& service) { current_as_of_.erase(service); }
    /// Longest time for which the copy of a table went unconfirmed since the last call, up to now.
    [[nodiscard]] milliseconds take_peak_table_lag(cw_boot_time now);

private:
    /// Reports that failed since the last line.
    struct failed_reports {
        cw_boot_time next_line{};
        std::size_t count = 0;
    };
    /// Tables sent since the last line.
    struct sent_tables {
        cw_boot_time since{};
        std::size_t answers = 0;
        std::size_t changes = 0;
        std::size_t bytes = 0;
        std::size_t largest = 0;
        std::uint64_t editions_behind = 0;
        std::chrono::nanoseconds make_time{0};
    };

    cw_log log_{"exchange"};
    cw_gateway_metrics& metrics_;
    /// By service, when the last report that was answered had been sent.
    std::map<std::string, cw_boot_time> current_as_of_;
    std::map<std::string, failed_reports> failed_;
    std::map<std::string, sent_tables> sent_;
    milliseconds peak_lag_{0};
};
