#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// The highest key. The keys of a keyed service are numbers from 0 to this one.
inline constexpr std::uint32_t cw_last_key = 65'535;

/// One incarnation of an upstream, that is one start of its process, as an owner of keys.
struct cw_key_owner {
    /// Id of the upstream; empty when there is no owner.
    std::string id;
    /// Increases with each start of the upstream's process.
    std::uint64_t incarnation = 0;
    /// "IP:port".
    std::string address;

    friend bool operator==(const cw_key_owner&, const cw_key_owner&) = default;
};

/// Adjacent keys with one owner and one fence.
struct cw_key_range {
    /// First key.
    std::uint32_t first = 0;
    /// Last key, inclusive.
    std::uint32_t last = cw_last_key;
    cw_key_owner owner;
    /// Fencing token of the grants for these keys. It is higher than all fences under which other
    /// owners have held any of them.
    std::uint64_t fence = 0;
    /// Owners that may still hold the keys while the range moves; empty once it is settled.
    std::vector<cw_key_owner> previous_owners;

    /// True until the new owner has confirmed the move.
    [[nodiscard]] bool is_moving() const { return !previous_owners.empty(); }
    [[nodiscard]] bool contains(std::uint32_t key) const { return first <= key && key <= last; }
    /// Number of keys.
    [[nodiscard]] std::uint32_t size() const { return last - first + 1; }

    friend bool operator==(const cw_key_range&, const cw_key_range&) = default;
};
