#pragma once

#include "cw_error.h"
#include "cw_key_range.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The process that may change a service's table and grant its keys.
struct cw_steward_id {
    /// Empty when the steward has resigned.
    std::string host;
    /// Rises with each start of the host's process.
    std::uint64_t incarnation = 0;
    /// "IP:port" at which it takes the other hosts' reports.
    std::string address;

    friend bool operator==(const cw_steward_id&, const cw_steward_id&) = default;
};

/// Keys that are to change owners.
struct cw_key_move {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    cw_key_owner to;
};

/// Who owns the keys of one service, and who may change that.
///
/// The store's copy changes only by conditional writes. Editions of one term come from one steward,
/// so (term, edition) orders all copies.
struct cw_key_table {
    /// Rises with each change of the steward.
    std::uint64_t term = 0;
    /// Rises with each change within a term.
    std::uint64_t edition = 0;
    cw_steward_id steward;
    /// Stewards before this one that are not known to have ended and may still grant for a while.
    std::vector<cw_steward_id> predecessors;
    /// The highest fence given so far.
    std::uint64_t last_fence = 0;
    /// Sorted; they cover all keys.
    std::vector<cw_key_range> ranges{cw_key_range{}};

    [[nodiscard]] const cw_key_range& range_of(std::uint32_t key) const;
    /// True when this copy is later than the other.
    [[nodiscard]] bool is_newer_than(const cw_key_table& other) const;
    /// Gives keys to other owners under new fences.
    void apply(const std::vector<cw_key_move>& moves);
    /// Joins settled neighbours of one owner under a new fence.
    void merge_settled_ranges();

    /// A hash of the ranges. Copies of one term and edition are alike but for rare cases in which a
    /// write that went unanswered is carried out late; the hash tells them apart.
    [[nodiscard]] std::uint64_t digest() const;
    /// This copy with only those of its ranges that an earlier copy does not have.
    [[nodiscard]] cw_key_table changes_since(const cw_key_table& earlier) const;
    /// The copy that changes_since() of this one stands for; an error when they do not fit it.
    [[nodiscard]] cw_result<cw_key_table> with_changes(cw_key_table changes) const;

    /// The copy as JSON text.
    [[nodiscard]] std::string to_text() const;
    /// Reads to_text()'s form; the error says what is wrong.
    [[nodiscard]] static cw_result<cw_key_table> parse(std::string_view text);
    /// The same for a copy of which ranges may be missing.
    [[nodiscard]] static cw_result<cw_key_table> parse_changes(std::string_view text);
};
