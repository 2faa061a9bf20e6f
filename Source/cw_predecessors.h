#pragma once

#include "cw_boot_clock.h"
#include "cw_key_table.h"
#include "cw_steward_options.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Tracks how long grants of earlier stewards may be in force.
///
/// An earlier steward may grant keys until its tenure expires. A later process on its host, or its
/// acknowledgement of the succession, proves that it no longer does. Nothing proves it of an
/// unknown steward, whose claim the store may have lost when it came back from an older copy.
class cw_predecessors {
public:
    cw_predecessors(const cw_steward_options& options, std::string self);

    /// Raises the longest time for which a lease of an earlier steward may be in force; a lower
    /// value is ignored.
    void raise_max_lease(std::chrono::milliseconds max_lease) {
        max_lease_ = std::max(max_lease_, max_lease);
    }
    /// A process of the host reported; its earlier processes have ended.
    void on_host_process(const std::string& host, std::uint64_t incarnation);
    /// A predecessor acknowledged this host's present term.
    void on_succession_ack(const cw_steward_id& steward);
    /// This host became steward. Returns the time after which no grant of the given earlier
    /// stewards can be in force.
    std::chrono::milliseconds on_takeover(const std::vector<cw_steward_id>& predecessors,
                                          const cw_steward_options& options, cw_boot_time now);
    /// This host is the steward still, but the store has come back from an older copy: an unknown
    /// steward may have claimed and lost the table in the meantime.
    void on_store_restored(const cw_steward_options& options, cw_boot_time now);
    /// Removes the stewards that no longer grant keys from the list, and all of them once
    /// grants_end() has passed. True if the list became empty because each is known to have ended.
    bool drop_ended(std::vector<cw_steward_id>& predecessors, cw_boot_time now);
    /// Returns the known ones of the list if they should be notified of the succession now, else
    /// nothing. The next notice is due after cw_steward_options::succession_retry_interval.
    [[nodiscard]] std::vector<cw_steward_id>
    take_unnotified(const std::vector<cw_steward_id>& predecessors, cw_boot_time now);

    /// True if the steward acknowledged this host's present term.
    [[nodiscard]] bool has_acknowledged(const cw_steward_id& steward) const;
    /// True if a later process of the steward's host is known, or the steward's host is this one.
    [[nodiscard]] bool is_replaced(const cw_steward_id& steward) const;
    /// Latest time at which a grant of an earlier steward may be in force.
    [[nodiscard]] cw_boot_time grants_end() const { return grants_end_; }
    /// Time after which no grant of a steward that has just been proved to have ended is in force.
    [[nodiscard]] std::chrono::milliseconds max_proved_wait() const;
    /// Time after which no grant of a steward of which nothing is known can be in force.
    [[nodiscard]] std::chrono::milliseconds
    max_unproved_wait(const cw_steward_options& options) const;

private:
    std::chrono::milliseconds max_lease_;
    /// Allowance for commands that a predecessor had decided on before it stopped.
    std::chrono::milliseconds in_flight_allowance_;
    std::chrono::milliseconds notice_interval_;
    std::string self_host_;
    /// The highest incarnation seen of each host.
    std::map<std::string, std::uint64_t> incarnations_;
    /// Host and incarnation of the stewards that acknowledged this host's present term.
    std::set<std::pair<std::string, std::uint64_t>> acknowledged_;
    cw_boot_time grants_end_{};
    cw_boot_time next_notice_{};
};
