#include "cw_exchange_log.h"

#include "cw_gateway_metrics.h"

#include <algorithm>
#include <utility>

namespace {

using std::chrono::milliseconds;

/// Age of a copy from which its confirmation is logged.
constexpr milliseconds late_table{1'000};
constexpr milliseconds summary_interval{1'000};

std::string text_of(std::chrono::nanoseconds time) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

} // namespace

void cw_exchange_log::report_failed(const std::string& service, const cw_key_table& known,
                                    const cw_error& error, cw_boot_time sent_at, cw_boot_time now) {
    metrics_.increment("reports_failed");
    auto& failed = failed_[service];
    ++failed.count;
    if (now < failed.next_line) {
        return;
    }
    failed.next_line = now + summary_interval;
    const auto count = std::exchange(failed.count, 0);
    log_.info("A report to a steward has failed.", {{"service", service},
                                                    {"steward", known.steward.host},
                                                    {"term", known.term.text()},
                                                    {"edition", std::to_string(known.edition)},
                                                    {"count", std::to_string(count)},
                                                    {"error", error.text()},
                                                    {"ms", text_of(now - sent_at)}});
}

void cw_exchange_log::report_answered(const std::string& service, const cw_key_table& latest,
                                      std::size_t bytes, cw_boot_time sent_at, cw_boot_time now) {
    const auto before = std::exchange(current_as_of_[service], sent_at);
    if (before == cw_boot_time{} || now < before) {
        return;
    }
    const auto lag = std::chrono::duration_cast<milliseconds>(now - before);
    peak_lag_ = std::max(peak_lag_, lag);
    if (lag >= late_table) {
        log_.info("A key table was late.", {{"service", service},
                                            {"steward", latest.steward.host},
                                            {"term", latest.term.text()},
                                            {"edition", std::to_string(latest.edition)},
                                            {"bytes", std::to_string(bytes)},
                                            {"call_ms", text_of(now - sent_at)},
                                            {"lag_ms", text_of(lag)}});
    }
}

void cw_exchange_log::table_sent(const cw_key_table& latest, const std::string& service,
                                 std::uint64_t known_edition, std::size_t bytes,
                                 std::chrono::nanoseconds make_time, cw_boot_time now) {
    auto& sent = sent_[service];
    if (sent.since == cw_boot_time{}) {
        sent.since = now;
    }
    ++sent.answers;
    sent.changes += bytes == 0 ? 0 : 1;
    sent.bytes += bytes;
    sent.largest = std::max(sent.largest, bytes);
    sent.make_time += make_time;
    if (known_edition < latest.edition) {
        sent.editions_behind = std::max(sent.editions_behind, latest.edition - known_edition);
    }
    if (now < sent.since + summary_interval) {
        return;
    }
    const auto ended = std::exchange(sent, {});
    if (ended.changes != 0) {
        log_.info("Key tables have been sent.",
                  {{"service", service},
                   {"term", latest.term.text()},
                   {"edition", std::to_string(latest.edition)},
                   {"ranges", std::to_string(latest.ranges.size())},
                   {"answers", std::to_string(ended.answers)},
                   {"with_changes", std::to_string(ended.changes)},
                   {"bytes", std::to_string(ended.bytes)},
                   {"largest", std::to_string(ended.largest)},
                   {"editions_behind", std::to_string(ended.editions_behind)},
                   {"make_ms", text_of(ended.make_time)},
                   {"ms", text_of(now - ended.since)}});
    }
}

milliseconds cw_exchange_log::take_peak_table_lag(cw_boot_time now) {
    auto peak = std::exchange(peak_lag_, milliseconds{0});
    for (const auto& [service, moment] : current_as_of_) {
        peak = std::max(peak, std::chrono::duration_cast<milliseconds>(now - moment));
    }
    return peak;
}
