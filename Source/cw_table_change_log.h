#pragma once

#include "cw_key_table.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// Names one copy of a key table.
struct cw_table_version {
    std::uint64_t term = 0;
    std::uint64_t edition = 0;
    std::uint64_t digest = 0;

    [[nodiscard]] static cw_table_version of(const cw_key_table& table) {
        return {table.term, table.edition, table.digest()};
    }
    friend auto operator<=>(const cw_table_version&, const cw_table_version&) = default;
};

/// Tells other hosts how a service's key table has changed.
///
/// A host is sent only the ranges that have changed since the copy that it knows, and each text is
/// made once for all hosts that know the same copy. The load that it answers: many hosts that are
/// all told of each change by one steward, some of them on machines so weak that they are dozens of
/// changes behind; told the whole table each time, they would never catch up.
class cw_table_change_log {
public:
    /// Takes the latest copy; one that is known already changes nothing.
    void on_table(std::shared_ptr<const cw_key_table> table);
    /// What a host that knows the given copy must be told to know the latest: "table" with the
    /// whole copy, or "changes" to the copy that it knows. Empty when it knows the latest.
    struct delta {
        bool is_full = false;
        std::string text;
    };
    [[nodiscard]] const delta& delta_since(const cw_table_version& known);

private:
    /// First and last of neighbouring keys.
    using key_interval = std::pair<std::uint32_t, std::uint32_t>;
    /// What changed from one copy to the next.
    struct step {
        cw_table_version previous_version;
        std::vector<key_interval> changed;
    };

    [[nodiscard]] delta make_delta(const cw_table_version& known) const;
    /// The latest copy with only those ranges that changed in this step or a later one.
    [[nodiscard]] cw_key_table changes_from(const std::deque<step>::const_iterator& first) const;

    /// Changes that are remembered; at fifty a second, those of the last 20 s.
    static constexpr std::size_t max_steps = 1'000;
    /// Texts that are kept; whatever copies hosts may name, memory stays bounded.
    static constexpr std::size_t max_cached_deltas = 64;

    std::shared_ptr<const cw_key_table> latest_;
    cw_table_version latest_version_;
    /// The step to the latest copy last.
    std::deque<step> steps_;
    /// Texts for the latest copy, by the copy that the host knows.
    std::map<cw_table_version, delta> deltas_;
};
