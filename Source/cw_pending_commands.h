#pragma once

#include "cw_boot_clock.h"
#include "cw_key_range.h"
#include "cw_steward_command.h"
#include "cw_steward_event.h"
#include "cw_steward_options.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// A steward's orders under way, and what their results say about the upstreams.
class cw_pending_commands {
public:
    explicit cw_pending_commands(const cw_steward_options& options)
        : unresponsive_after_{options.unresponsive_after},
          probe_delay_{options.probe_delay} {}

    /// Notes an order that is about to be sent and numbers it.
    void add(cw_ownership_command& command);
    /// Takes an order that has ended; nothing when it is not known.
    [[nodiscard]] std::optional<cw_ownership_command>
    take_ended(const cw_ownership_command_ended& event, cw_boot_time now);
    /// Forgets what is known of upstreams, but not the orders.
    void forget_upstreams() { upstreams_.clear(); }

    /// True while a grant of some of the range's keys is under way to the owner.
    [[nodiscard]] bool is_granting(const cw_key_range& range, const cw_key_owner& owner) const;
    /// True when as many orders are under way to the upstream as may be.
    [[nodiscard]] bool is_busy(const cw_key_owner& upstream) const;
    /// True when orders to the upstream have failed for some time and none has been answered since.
    [[nodiscard]] bool is_unresponsive(const std::string& id, cw_boot_time now) const;
    /// True when a silent upstream should be probed now. The caller sends a probe if so.
    [[nodiscard]] bool start_probe(const cw_key_owner& upstream, cw_boot_time now);
    /// True when another upstream has answered at the address of this life.
    [[nodiscard]] bool is_replaced(const cw_key_owner& upstream) const;

private:
    struct upstream_state {
        cw_boot_time last_answer{};
        cw_boot_time next_probe{};
        /// The newest life that was tried.
        std::uint64_t tried_incarnation = 0;
        std::uint32_t failures = 0;
    };

    std::chrono::milliseconds unresponsive_after_;
    std::chrono::milliseconds probe_delay_;
    std::map<std::uint64_t, cw_ownership_command> commands_;
    std::uint64_t next_number_ = 1;
    std::map<std::string, upstream_state> upstreams_;
    /// Lives that are proved to have ended, by id.
    std::map<std::string, std::uint64_t> ended_incarnations_;
};

/// True when the order is about some of the range's keys.
[[nodiscard]] inline bool cw_overlaps(const cw_key_range& range,
                                      const cw_ownership_command& command) {
    return command.first <= range.last && range.first <= command.last;
}
