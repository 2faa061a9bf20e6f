#pragma once

#include "cw_boot_clock.h"

#include <chrono>
#include <cstdint>

struct cw_key_table;

/// The store's era as this host knows it, and what a later era means for key tables.
///
/// The store begins an era each time it comes back from an older copy of itself. It has then lost
/// what was written in the seconds before.
class cw_store_era {
public:
    /// An answer of the store named the era. Earlier ones than the known one are ignored.
    void on_named(std::uint64_t era, cw_boot_time now);
    /// The latest known era; 0 if the store names none.
    [[nodiscard]] std::uint64_t number() const { return number_; }
    /// When this host learned of it.
    [[nodiscard]] cw_boot_time seen_at() const { return seen_at_; }

    /// True if the store may have lost claims and moves that are later than the table, which is
    /// empty if the store has none: it was last written in an earlier era, or is missing in one
    /// above the first, and this host has not known the era for `longest_grant_time`, after which
    /// no steward of an earlier era grants keys.
    [[nodiscard]] bool may_lack_moves(const cw_key_table& table, cw_boot_time now,
                                      std::chrono::milliseconds longest_grant_time) const;
    /// Raises the last fence of a table of an earlier era, or of an empty one, above all fences
    /// that were given out in earlier eras and that the store may have lost.
    void skip_lost_fences(cw_key_table& table) const;

private:
    std::uint64_t number_ = 0;
    cw_boot_time seen_at_{};
};
