#pragma once

#include <compare>
#include <cstdint>

struct cw_upstream_entry;

/// Orders the entries that an upstream wrote under one id, whatever the store's position.
struct cw_entry_stamp {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    [[nodiscard]] static cw_entry_stamp of(const cw_upstream_entry& entry);
    /// True if the entry names both numbers, so that it can be ordered.
    [[nodiscard]] bool is_ordered() const { return incarnation != 0 && sequence != 0; }
    /// True if the other entry was written later. An entry that lacks the incarnation or the
    /// sequence cannot be ordered and is not older than any.
    [[nodiscard]] bool is_older_than(const cw_entry_stamp& other) const;
    friend auto operator<=>(const cw_entry_stamp&, const cw_entry_stamp&) = default;
};
