#pragma once

#include "cw_boot_clock.h"
#include "cw_key_table.h"
#include "cw_steward_options.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Knows how long stewards before this one may still grant keys.
///
/// One that is not known to have ended may grant until its tenure is over. A later process on its
/// host, or its own word that it knows of its successor, proves that it grants no more.
class cw_predecessors {
public:
    cw_predecessors(const cw_steward_options& options, std::string self);

    /// A process of the host was seen; earlier ones have ended.
    void on_host_process(const std::string& host, std::uint64_t incarnation);
    /// A predecessor said that it knows of this host's term.
    void on_succession_ack(const cw_steward_id& steward);
    /// This host took over. Returns the time until nothing that the given stewards granted is in
    /// force.
    std::chrono::milliseconds on_takeover(const std::vector<cw_steward_id>& predecessors,
                                          const cw_steward_options& options, cw_boot_time now);
    /// Takes those that have ended off the list; true when that ended the last of them.
    bool drop_ended(std::vector<cw_steward_id>& predecessors, cw_boot_time now);
    /// Those of the list that should be told now that they were succeeded.
    [[nodiscard]] std::vector<cw_steward_id>
    take_unnotified(const std::vector<cw_steward_id>& predecessors, cw_boot_time now);

    /// True when a later process runs on the steward's host, or it is this host.
    [[nodiscard]] bool is_replaced(const cw_steward_id& steward) const;
    /// Latest end of what earlier stewards may have granted.
    [[nodiscard]] cw_boot_time grants_end() const { return grants_end_; }

private:
    std::chrono::milliseconds max_lease_;
    std::chrono::milliseconds notice_interval_;
    std::string self_host_;
    /// The highest incarnation seen of each host.
    std::map<std::string, std::uint64_t> incarnations_;
    /// Host and incarnation of those that gave way to this host's present term.
    std::set<std::pair<std::string, std::uint64_t>> acknowledged_;
    cw_boot_time grants_end_{};
    cw_boot_time next_notice_{};
};
