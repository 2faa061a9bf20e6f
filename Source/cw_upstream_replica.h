#pragma once

#include "cw_upstream_delta.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

/// Copy of the upstream entries as of a store revision, with a bounded log of recent changes.
///
/// Upstreams rewrite their entries about once a second as a heartbeat. Such a write changes only
/// the remaining warm-up time and does not count as a change. Of hundreds of writes a second, the
/// other hosts of a failure domain therefore receive only the few that matter to them.
class cw_upstream_replica {
public:
    /// Applies a delta from the store or from another host and returns the entries that it changed.
    /// A delta older than the own revision is ignored.
    cw_upstream_delta apply(cw_upstream_delta update);
    /// Changes since revision `known`; all entries when the log does not reach back that far or
    /// `known` is 0.
    [[nodiscard]] cw_upstream_delta delta_since(std::uint64_t known) const;
    /// True when delta_since() would contain changes; false while no revision is known here.
    [[nodiscard]] bool has_changes_since(std::uint64_t known) const;
    /// The store's revision of the entries; 0 before the first delta.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    /// Ids of the entries that changed with a revision.
    struct change {
        std::uint64_t revision = 0;
        std::vector<std::string> ids;
    };

    /// True when the entry is new or differs in more than its warm-up time.
    [[nodiscard]] bool is_relevant_change(const cw_upstream_entry& entry) const;
    [[nodiscard]] bool has_history_since(std::uint64_t known) const;
    void record(const cw_upstream_delta& delta);

    /// Length of the change log. A host that follows continuously needs only the last few changes.
    static constexpr std::size_t max_changes = 256;

    std::map<std::string, cw_upstream_entry> entries_;
    std::deque<change> changes_;
    /// The log holds all changes after this revision.
    std::uint64_t history_start_ = 0;
    std::uint64_t revision_ = 0;
};
