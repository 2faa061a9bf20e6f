#pragma once

#include <compare>
#include <cstdint>
#include <string>

/// Number of a stewardship, which increases with each change of the steward.
///
/// A store that comes back from an older copy may have lost the latest terms and gives out their
/// numbers again, so terms are ordered by the store's era first.
struct cw_term {
    /// The store's era in which the term began; 0 if the store names none.
    std::uint64_t era = 0;
    std::uint64_t number = 0;

    /// The term for logs.
    [[nodiscard]] std::string text() const {
        return era == 0 ? std::to_string(number)
                        : std::to_string(number) + " of era " + std::to_string(era);
    }
    friend auto operator<=>(const cw_term&, const cw_term&) = default;
};
