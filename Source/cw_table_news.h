#pragma once

#include "cw_key_table.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

/// Names one copy of a key table.
struct cw_table_mark {
    std::uint64_t term = 0;
    std::uint64_t edition = 0;
    std::uint64_t digest = 0;

    [[nodiscard]] static cw_table_mark of(const cw_key_table& table) {
        return {table.term, table.edition, table.digest()};
    }
    friend auto operator<=>(const cw_table_mark&, const cw_table_mark&) = default;
};

/// Tells other hosts how a service's key table has changed.
///
/// A host that knows one of the last copies is sent only the ranges that differ, and each text is
/// made once for all hosts that know the same copy. The load that it answers: many hosts that are
/// all told of each change by one steward.
class cw_table_news {
public:
    /// Takes the latest copy; one that is known already changes nothing.
    void on_table(std::shared_ptr<const cw_key_table> table);
    /// What a host that knows the given copy must be told to know the latest: "table" with the
    /// whole copy, or "changes" to the copy that it knows. Empty when it knows the latest.
    struct words {
        bool is_whole = false;
        std::string text;
    };
    [[nodiscard]] const words& since(const cw_table_mark& known);

private:
    [[nodiscard]] words make(const cw_table_mark& known) const;

    /// Copies that are remembered; hosts that are answered at each change know one of the last.
    static constexpr std::size_t most_copies = 16;
    /// Texts that are kept; whatever copies hosts may name, memory stays bounded.
    static constexpr std::size_t most_texts = 64;

    struct copy {
        cw_table_mark mark;
        std::shared_ptr<const cw_key_table> table;
    };

    /// The latest copy last.
    std::deque<copy> copies_;
    /// Texts for the latest copy, by the copy that the host knows.
    std::map<cw_table_mark, words> texts_;
};
