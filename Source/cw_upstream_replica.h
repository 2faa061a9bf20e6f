#pragma once

#include "cw_upstream_delta.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

/// Copy of the upstream entries as of a store position, with a bounded log of recent changes.
///
/// Upstreams rewrite their entries about once a second as a heartbeat. Such a write changes only
/// the remaining warm-up time and does not count as a change. Of hundreds of writes a second, the
/// other hosts of a failure domain therefore receive only the few that matter to them.
class cw_upstream_replica {
public:
    /// Applies a delta from the store or from another host and returns the entries that it changed.
    /// A delta older than the own position is ignored, and so is one of a later era of the store
    /// that is not full: the own entries are no base for it.
    cw_upstream_delta apply(cw_upstream_delta update);
    /// Changes since the position `known`; all entries when the log does not reach back that far,
    /// `known` is of another era or no position.
    [[nodiscard]] cw_upstream_delta delta_since(cw_store_position known) const;
    /// True when delta_since() would contain changes; false while no position is known here.
    [[nodiscard]] bool has_changes_since(cw_store_position known) const;
    /// The store's position of the entries; none before the first delta.
    [[nodiscard]] const cw_store_position& position() const { return position_; }

private:
    /// Ids of the entries that changed up to a position.
    struct change {
        cw_store_position position;
        std::vector<std::string> ids;
    };

    /// True when the entry is new or differs in more than its warm-up time.
    [[nodiscard]] bool is_relevant_change(const cw_upstream_entry& entry) const;
    /// True when the entry is older than the known one of its id, or not newer than the last one
    /// before its removal.
    [[nodiscard]] bool is_outdated(const cw_upstream_entry& entry) const;
    void remember_removed(const std::string& id, cw_entry_stamp stamp);
    [[nodiscard]] bool has_history_since(cw_store_position known) const;
    void record(const cw_upstream_delta& delta);

    /// Length of the change log. A host that follows continuously needs only the last few changes.
    static constexpr std::size_t max_changes = 256;

    /// Limit of the removed entries that are remembered; the oldest is forgotten first.
    static constexpr std::size_t max_removed = 4'096;

    std::map<std::string, cw_upstream_entry> entries_;
    /// Last stamps of removed entries, by id. A store that comes back from an older copy lists such
    /// entries again, though their upstreams may have left.
    std::map<std::string, cw_entry_stamp> removed_;
    /// Ids in `removed_`, in the order in which they were first removed.
    std::deque<std::string> removed_order_;
    std::deque<change> changes_;
    /// The log holds all changes after this position.
    cw_store_position history_start_;
    cw_store_position position_;
};
