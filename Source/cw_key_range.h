#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Keys of a keyed service are numbers from 0 to this one.
inline constexpr std::uint32_t cw_last_key = 65'535;

/// One life of an upstream, as an owner of keys.
struct cw_key_owner {
    /// Empty for nobody.
    std::string id;
    std::uint64_t incarnation = 0;
    /// "IP:port".
    std::string address;

    friend bool operator==(const cw_key_owner&, const cw_key_owner&) = default;
};

/// Neighbouring keys with one owner and one fence.
struct cw_key_range {
    std::uint32_t first = 0;
    /// Inclusive.
    std::uint32_t last = cw_last_key;
    cw_key_owner owner;
    /// Above all fences with which others have had any of these keys.
    std::uint64_t fence = 0;
    /// Who may still hold the keys while they move; empty once they have settled.
    std::vector<cw_key_owner> previous_owners;

    [[nodiscard]] bool is_moving() const { return !previous_owners.empty(); }
    [[nodiscard]] bool contains(std::uint32_t key) const { return first <= key && key <= last; }
    [[nodiscard]] std::uint32_t size() const { return last - first + 1; }

    friend bool operator==(const cw_key_range&, const cw_key_range&) = default;
};
