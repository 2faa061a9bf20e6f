#pragma once

#include "cw_key_table.h"
#include "cw_table_format.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// Identifies one copy of a key table.
struct cw_table_version {
    cw_term term;
    std::uint64_t edition = 0;
    std::uint64_t digest = 0;

    /// The version of the given copy.
    [[nodiscard]] static cw_table_version of(const cw_key_table& table) {
        return {table.term, table.edition, table.digest()};
    }
    friend auto operator<=>(const cw_table_version&, const cw_table_version&) = default;
};

/// Remembers the latest changes of a service's key table and makes the deltas that other hosts are
/// sent.
///
/// A host is sent only the ranges that have changed since the copy that it knows, and each delta is
/// serialized once for all hosts that know the same copy. One steward sends each change to many
/// hosts, and some of them run on machines so weak that they are dozens of changes behind; if they
/// were sent the full table each time, they would never catch up.
class cw_table_change_log {
public:
    /// Records a new copy of the table; a copy that is not newer than the latest one is ignored.
    void on_table(std::shared_ptr<const cw_key_table> table);
    /// What has to be sent to a host to bring its copy up to date, as JSON text: the full table
    /// (sent as "table") or the changed ranges (sent as "changes"). The text is empty if the host
    /// has the latest copy.
    struct delta {
        bool is_full = false;
        std::string text;
    };
    /// The delta from the copy that a host knows; the full table if that copy is unknown or too
    /// old. The reference is valid until the next call of a member function.
    [[nodiscard]] const delta& delta_since(const cw_table_version& known,
                                           cw_table_format format = cw_table_format::plain);

private:
    /// First and last of adjacent keys.
    using key_interval = std::pair<std::uint32_t, std::uint32_t>;
    /// The keys that changed from one copy to the next.
    struct step {
        cw_table_version previous_version;
        std::vector<key_interval> changed;
    };

    [[nodiscard]] delta make_delta(const cw_table_version& known, cw_table_format format) const;
    /// The latest copy with only the ranges that changed in the step `first` or a later one.
    [[nodiscard]] cw_key_table changes_from(const std::deque<step>::const_iterator& first) const;

    /// Limit of the steps that are kept; at 50 changes a second they cover the last 20 s.
    static constexpr std::size_t max_steps = 1'000;
    /// Limit of the deltas that are cached. It bounds the memory, whichever versions hosts ask for.
    static constexpr std::size_t max_cached_deltas = 64;

    std::shared_ptr<const cw_key_table> latest_;
    cw_table_version latest_version_;
    /// In order; the last step leads to the latest copy.
    std::deque<step> steps_;
    /// Deltas to the latest copy, by the version that the host knows and the form that it reads.
    std::map<std::pair<cw_table_version, cw_table_format>, delta> deltas_;
};
