#pragma once

#include "cw_error.h"
#include "cw_key_range.h"
#include "cw_term.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The steward of a service: the one gateway process that may change the service's key table and
/// grant its keys (its elected leader).
struct cw_steward_id {
    /// Name of the host; empty when the steward has resigned.
    std::string host;
    /// Increases with each start of the host's process.
    std::uint64_t incarnation = 0;
    /// "IP:port" at which it receives the reports of other hosts.
    std::string address;

    /// Stands for a steward that may exist although no copy of the table names it, because the
    /// store came back from a copy older than its claim.
    [[nodiscard]] static cw_steward_id unknown() { return {"unknown", 0, {}}; }
    [[nodiscard]] bool is_unknown() const { return *this == unknown(); }
    friend bool operator==(const cw_steward_id&, const cw_steward_id&) = default;
};

/// Assigns the keys from `first` to `last`, both inclusive, to a new owner.
struct cw_key_move {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    cw_key_owner to;
};

/// Key table of one service: the owner of each key range and the steward that may change it.
///
/// The copy in the store changes only by conditional writes. All editions of one term come from one
/// steward, so (term, edition) orders all copies.
struct cw_key_table {
    /// Increases with each change of the steward.
    cw_term term;
    /// False for a table of an earlier release, which did not know the store's eras.
    bool names_era = true;
    /// Version of the table within its term; increases with each change.
    std::uint64_t edition = 0;
    cw_steward_id steward;
    /// Earlier stewards that are not known to have ended and may still grant keys until their
    /// tenure runs out.
    std::vector<cw_steward_id> predecessors;
    /// True if an unknown earlier steward may have moved keys, so that upstreams which this table
    /// does not name may hold them.
    bool are_owners_uncertain = false;
    /// Upper bound of the leases that stewards of this table grant. 0, also in tables of an earlier
    /// release, stands for cw_steward_options::lease. Never lowered, so that each successor waits
    /// for the longest lease that a predecessor may have granted.
    std::chrono::milliseconds longest_lease{0};
    /// The highest fence assigned so far.
    std::uint64_t last_fence = 0;
    /// Sorted by key; together they cover all keys without gaps.
    std::vector<cw_key_range> ranges{cw_key_range{}};

    /// The range that contains the key; the last range for a number above cw_last_key.
    [[nodiscard]] const cw_key_range& range_of(std::uint32_t key) const;
    /// True when this copy has a later (term, edition) than the other.
    [[nodiscard]] bool is_newer_than(const cw_key_table& other) const;
    /// Assigns keys to other owners; each range that changes its owner gets a new fence.
    void apply(const std::vector<cw_key_move>& moves);
    /// Merges adjacent settled ranges of the same owner; each merged range gets a new fence.
    void merge_settled_ranges();
    /// Gives each range a new fence; the owners stay.
    void renew_fences();

    /// Hash of the ranges. Copies of one term and edition are the same except in rare cases, in
    /// which an unanswered write takes effect late; the digest distinguishes such copies.
    [[nodiscard]] std::uint64_t digest() const;
    /// This table with only the ranges that differ from those of an earlier copy.
    [[nodiscard]] cw_key_table changes_since(const cw_key_table& earlier) const;
    /// Applies the result of changes_since() to this copy and returns the newer copy. It is an
    /// error if the result does not cover all keys.
    [[nodiscard]] cw_result<cw_key_table> with_changes(cw_key_table changes) const;

    /// The table as JSON text.
    [[nodiscard]] std::string to_json() const;
    /// The table as JSON text of a quarter to a half of that length: each owner is named once, and
    /// each range is a few numbers. Hosts of an earlier release cannot parse it.
    [[nodiscard]] std::string to_compact_json() const;
    /// Parses the output of to_json() or to_compact_json(). It is an error if the JSON is invalid,
    /// a field is missing or the ranges do not cover all keys.
    [[nodiscard]] static cw_result<cw_key_table> parse(std::string_view text);
    /// Like parse(), but accepts a table that lacks ranges, such as the result of changes_since().
    [[nodiscard]] static cw_result<cw_key_table> parse_changes(std::string_view text);
};
