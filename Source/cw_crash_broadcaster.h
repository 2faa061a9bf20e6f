#pragma once

#include "cw_crash_tracker.h"
#include "cw_keeper_event.h"

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

class cw_keeper_context;

/// Distributes reports of requests that crashed upstreams, and of answers to such requests, among
/// the keepers of one organization (`firm`), and publishes the resulting crash counts to the
/// routers.
///
/// A report is sent directly to every keeper of the firm and repeated, since messages may be lost.
/// Reports are rare, so the lower traffic of a distribution tree would not justify its delay.
class cw_crash_broadcaster {
public:
    explicit cw_crash_broadcaster(cw_keeper_context& context);

    /// Handles a report of a router of this host: a crash, or an answer to a request
    /// that is suspected of crashing upstreams.
    void on_local_report(const cw_crash_event& event, cw_time_point now);
    /// Handles a report that another keeper has sent.
    void on_peer_report(const cw_crash_message& report, cw_time_point now);
    /// Sends the repetitions that are due and removes expired counts.
    void on_tick(cw_time_point now);

    /// All suspected requests with the number of their crashes.
    [[nodiscard]] cw_crash_counts counts() const;

private:
    struct pending_repeat {
        cw_crash_message report;
        std::uint32_t remaining_sends = 0;
        cw_time_point next_send;
    };

    /// Applies a report; false when it has already been received.
    bool apply_report(const cw_crash_message& report, cw_time_point now);

    cw_keeper_context& context_;
    cw_crash_tracker tracker_;
    std::vector<pending_repeat> pending_repeats_;
    /// Sender and sequence number of the latest reports, by which repetitions are detected.
    std::deque<std::pair<std::string, std::uint64_t>> seen_ids_;
    cw_time_point next_cleanup_{};
};
