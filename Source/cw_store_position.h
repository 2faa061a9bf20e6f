#pragma once

#include <compare>
#include <cstdint>

/// A point in the history of the platform's store.
///
/// The store may come back from an older copy of itself. It then begins a new era and gives out the
/// revisions of the changes that it has lost once more, so revisions are comparable only within one
/// era, and every change of a later era comes after all changes of an earlier one.
struct cw_store_position {
    /// The store's era; 0 from a store that names none.
    std::uint64_t era = 0;
    /// The store's revision within the era; 0 if no position is known.
    std::uint64_t revision = 0;

    [[nodiscard]] bool is_known() const { return revision != 0; }
    friend auto operator<=>(const cw_store_position&, const cw_store_position&) = default;
};
