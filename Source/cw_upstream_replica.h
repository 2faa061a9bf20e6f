#pragma once

#include "cw_upstream_delta.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

/// Knows the upstreams' entries as of a revision, and what changed since earlier ones.
///
/// Upstreams write their entries about once a second to show that they live. Such a write changes
/// nothing but the warm-up that is left, and is no news. The load that it answers: hundreds of
/// writes a second, of which the other hosts of a domain are told only the few that matter.
class cw_upstream_replica {
public:
    /// Takes what a look at the store, or another host, showed and returns what is new in it. What
    /// is older than the known revision is ignored.
    cw_upstream_delta apply(cw_upstream_delta update);
    /// What a host that knows the given revision must be told; whole when that is too long ago.
    [[nodiscard]] cw_upstream_delta delta_since(std::uint64_t known) const;
    /// True when since() would name an entry.
    [[nodiscard]] bool has_changes_since(std::uint64_t known) const;
    /// The store's revision of what is known; 0 when nothing is.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    /// Ids that changed with a revision.
    struct change {
        std::uint64_t revision = 0;
        std::vector<std::string> ids;
    };

    [[nodiscard]] bool is_relevant_change(const cw_upstream_entry& entry) const;
    [[nodiscard]] bool has_history_since(std::uint64_t known) const;
    void record(const cw_upstream_delta& delta);

    /// Changes that are remembered. A host that is told of each needs the last few only.
    static constexpr std::size_t max_changes = 256;

    std::map<std::string, cw_upstream_entry> entries_;
    std::deque<change> changes_;
    /// Changes after this revision are remembered.
    std::uint64_t history_start_ = 0;
    std::uint64_t revision_ = 0;
};
