#pragma once

#include "cw_upstream_news.h"

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
class cw_entry_feed {
public:
    /// Takes what a look at the store, or another host, showed and returns what is new in it. What
    /// is older than the known revision is ignored.
    cw_upstream_news take(cw_upstream_news seen);
    /// What a host that knows the given revision must be told; whole when that is too long ago.
    [[nodiscard]] cw_upstream_news since(std::uint64_t known) const;
    /// True when since() would name an entry.
    [[nodiscard]] bool has_news_since(std::uint64_t known) const;
    /// The store's revision of what is known; 0 when nothing is.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    /// Ids that changed with a revision.
    struct change {
        std::uint64_t revision = 0;
        std::vector<std::string> ids;
    };

    [[nodiscard]] bool is_news(const cw_upstream_entry& entry) const;
    [[nodiscard]] bool remembers(std::uint64_t known) const;
    void remember(const cw_upstream_news& news);

    /// Changes that are remembered. A host that is told of each needs the last few only.
    static constexpr std::size_t most_changes = 256;

    std::map<std::string, cw_upstream_entry> entries_;
    std::deque<change> changes_;
    /// Changes after this revision are remembered.
    std::uint64_t remembered_from_ = 0;
    std::uint64_t revision_ = 0;
};
