#pragma once

#include "cw_boot_clock.h"
#include "cw_key_range.h"
#include "cw_steward_command.h"
#include "cw_steward_event.h"
#include "cw_steward_options.h"
#include "cw_upstream_entry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// A steward's commands that have not ended, and the state of the upstreams that follows from the
/// results of those that have.
class cw_pending_commands {
public:
    explicit cw_pending_commands(const cw_steward_options& options)
        : unresponsive_after_{options.unresponsive_after},
          probe_delay_{options.probe_delay},
          renewal_interval_{options.renewal_interval} {}

    /// Adds a command that is about to be sent, and sets its number.
    void add(cw_ownership_command& command, cw_boot_time now);
    /// Removes and returns a command that has ended, and updates the state of its upstream. Empty
    /// if the number is unknown.
    [[nodiscard]] std::optional<cw_ownership_command>
    take_ended(const cw_ownership_command_ended& event, cw_boot_time now);
    /// Discards the upstreams' answers and failures; pending commands are kept.
    void forget_upstreams() {
        upstreams_.clear();
        cut_off_since_.reset();
        unanswered_since_.reset();
    }
    /// Sets aside failures that show a network failure of this host rather than of the upstreams.
    /// This host is taken to be cut off while more than half of the given upstreams fail and have
    /// not answered for a renewal interval, since the time at which the last of a majority
    /// answered. Upstreams that were unresponsive before that time stay so; any other must fail
    /// anew once this host is no longer cut off. To be called before decisions that follow from
    /// is_unresponsive().
    void discard_own_failures(const std::map<std::string, cw_upstream_entry>& upstreams,
                              cw_boot_time now);

    /// True while a grant to the owner that overlaps the range is pending.
    [[nodiscard]] bool is_granting(const cw_key_range& range, const cw_key_owner& owner) const;
    /// True if the maximum number of commands to the upstream is pending.
    [[nodiscard]] bool is_busy(const cw_key_owner& upstream) const;
    /// True if the latest commands to the upstream have failed and it has not answered for
    /// cw_steward_options::unresponsive_after.
    [[nodiscard]] bool is_unresponsive(const std::string& id, cw_boot_time now) const;
    /// True if a probe of an unresponsive upstream is due. The caller must then send one; the next
    /// is due after cw_steward_options::probe_delay.
    [[nodiscard]] bool start_probe(const cw_key_owner& upstream, cw_boot_time now);
    /// True if another upstream has answered at the address of this incarnation or a later one.
    [[nodiscard]] bool is_replaced(const cw_key_owner& upstream) const;

private:
    struct upstream_state {
        cw_boot_time last_answer{};
        /// When the latest grant or probe was sent; the clock's epoch if none was.
        cw_boot_time asked_at{};
        /// When the first of the failures in a row that count was noticed.
        cw_boot_time failing_since{};
        /// When failures were last discarded: those of commands sent before do not count.
        cw_boot_time discarded_at{};
        cw_boot_time next_probe{};
        /// The latest incarnation to which a grant or a probe failed or a probe was sent.
        std::uint64_t tried_incarnation = 0;
        std::uint32_t failures = 0;
        /// True if the latest command failed, even if that failure does not count.
        bool is_failing = false;
    };
    struct pending_command {
        cw_ownership_command command;
        cw_boot_time sent_at;
    };

    /// The time since which more than half of the given upstreams have not answered. Only those
    /// count as silent that fulfil the condition and do not leave.
    template <class Condition>
    [[nodiscard]] std::optional<cw_boot_time>
    majority_silent_since(const std::map<std::string, cw_upstream_entry>& upstreams,
                          Condition is_silent) const;
    [[nodiscard]] bool is_unresponsive(const upstream_state& upstream, cw_boot_time now) const;

    std::chrono::milliseconds unresponsive_after_;
    std::chrono::milliseconds probe_delay_;
    std::chrono::milliseconds renewal_interval_;
    std::map<std::uint64_t, pending_command> commands_;
    std::uint64_t next_number_ = 1;
    std::map<std::string, upstream_state> upstreams_;
    /// Since when this host is cut off; empty if it is not.
    std::optional<cw_boot_time> cut_off_since_;
    /// The time since which more than half of the upstreams have been asked and have not answered;
    /// failures noticed since do not show yet that an upstream has failed by itself.
    std::optional<cw_boot_time> unanswered_since_;
    /// The latest incarnation that is known to have ended, by upstream id.
    std::map<std::string, std::uint64_t> ended_incarnations_;
};

/// True if the command's keys overlap the range.
[[nodiscard]] inline bool cw_overlaps(const cw_key_range& range,
                                      const cw_ownership_command& command) {
    return command.first <= range.last && range.first <= command.last;
}
