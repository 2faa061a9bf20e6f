#pragma once

#include "cw_crash_tracker.h"
#include "cw_keeper_event.h"

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

class cw_keeper_context;

/// Shares between the keepers of a firm which requests upstreams died of, and tells the routers.
///
/// A mark goes straight to every keeper of the firm, and again a few times, since messages may be
/// lost. Marks are rare, so no tree is worth its delay.
class cw_crash_broadcaster {
public:
    explicit cw_crash_broadcaster(cw_keeper_context& context);

    /// A router of this host reports a crash, or that a marked request was answered after all.
    void on_local_report(const cw_crash_event& event, cw_time_point now);
    void on_peer_report(const cw_crash_message& report, cw_time_point now);
    void on_tick(cw_time_point now);

    /// Marked requests with the number of their crashes.
    [[nodiscard]] cw_crash_counts counts() const;

private:
    struct pending_repeat {
        cw_crash_message report;
        std::uint32_t remaining = 0;
        cw_time_point next_send;
    };

    bool accept(const cw_crash_message& report, cw_time_point now);

    cw_keeper_context& context_;
    cw_crash_tracker tracker_;
    std::vector<pending_repeat> pending_repeats_;
    /// Marks taken lately, by sender and number, so that a repeated one counts once.
    std::deque<std::pair<std::string, std::uint64_t>> seen_ids_;
    cw_time_point next_cleanup_{};
};
