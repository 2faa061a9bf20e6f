#pragma once

#include "cw_boot_clock.h"
#include "cw_upstream_entry.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

/// Upstreams that may be given work, from the platform's lagging entries.
///
/// An entry that is missing while the store is or has just been out of reach proves nothing: it may
/// have lapsed because its upstream could not write. Such a removal waits until the entry has had
/// time to come back.
class cw_upstream_directory {
public:
    /// `return_time` is how long after an outage lapsed entries may take to come back.
    explicit cw_upstream_directory(std::chrono::milliseconds recovery_time)
        : recovery_time_{recovery_time} {}

    /// All entries as one read showed them; others are missing. True when anything changed.
    bool on_list(const std::vector<cw_upstream_entry>& entries, cw_boot_time now);
    /// One entry was written. True when anything but its warm-up changed.
    bool on_entry(const cw_upstream_entry& entry);
    /// An entry was removed, or can no longer be read.
    bool on_removed(const std::string& id, cw_boot_time now);
    /// An upstream said in an answer that it leaves. That holds for its life, whatever its entry
    /// says. True when anything changed.
    bool on_leaving(const std::string& id, std::uint64_t incarnation);
    /// The store did not answer; entries that are missing from now on prove nothing for a while.
    void on_store_failure(cw_boot_time now);
    /// Carries out removals that have waited long enough. True when anything changed.
    bool on_tick(cw_boot_time now);

    [[nodiscard]] const std::map<std::string, cw_upstream_entry>& entries() const {
        return entries_;
    }
    /// The entry of an id; null when there is none.
    [[nodiscard]] const cw_upstream_entry* find(const std::string& id) const;

private:
    std::chrono::milliseconds recovery_time_;
    std::map<std::string, cw_upstream_entry> entries_;
    /// Removals in doubt, with the moment at which they take effect.
    std::map<std::string, cw_boot_time> pending_removals_;
    cw_boot_time removals_trusted_from_{};
    /// Lives that said they leave, by id.
    std::map<std::string, std::uint64_t> leaving_incarnations_;
};
