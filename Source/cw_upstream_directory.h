#pragma once

#include "cw_boot_clock.h"
#include "cw_upstream_entry.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

/// The known upstreams, from the platform's entries, which may lag behind.
///
/// While the store is unreachable, and for some time after, a missing entry does not show that its
/// upstream has ended: the entry may have expired because the upstream could not write, or the
/// store may have come back from a copy older than the entry. Such a removal is deferred until the
/// entry has had time to be written again.
class cw_upstream_directory {
public:
    /// `recovery_time` is how long after an outage expired entries may take to be written again.
    explicit cw_upstream_directory(std::chrono::milliseconds recovery_time)
        : recovery_time_{recovery_time} {}

    /// Applies the complete list of entries from one read; entries that are not in it are removed.
    /// True when anything changed.
    bool on_list(const std::vector<cw_upstream_entry>& entries, cw_boot_time now);
    /// Applies a written entry. True when it differs from the known one, as differs_from() states.
    bool on_entry(const cw_upstream_entry& entry);
    /// Removes an entry that was deleted or can no longer be parsed. False if the removal is
    /// deferred or the entry is unknown.
    bool on_removed(const std::string& id, cw_boot_time now);
    /// Marks an upstream that announced its shutdown in a response. The mark holds for its
    /// incarnation, whatever its entry says. True when anything changed.
    bool on_leaving(const std::string& id, std::uint64_t incarnation);
    /// The store did not answer, or came back from an older copy: removals are deferred until
    /// `recovery_time` from now.
    void defer_removals(cw_boot_time now);
    /// Executes deferred removals that are due. True when anything changed.
    bool on_tick(cw_boot_time now);

    [[nodiscard]] const std::map<std::string, cw_upstream_entry>& entries() const {
        return entries_;
    }
    /// The entry of an id; null when there is none.
    [[nodiscard]] const cw_upstream_entry* find(const std::string& id) const;

private:
    std::chrono::milliseconds recovery_time_;
    std::map<std::string, cw_upstream_entry> entries_;
    /// Deferred removals by id, with the time at which they take effect.
    std::map<std::string, cw_boot_time> pending_removals_;
    /// Removals before this time are deferred until it.
    cw_boot_time removals_trusted_from_{};
    /// The highest incarnation that announced its shutdown, by id.
    std::map<std::string, std::uint64_t> leaving_incarnations_;
};
