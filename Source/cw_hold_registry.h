#pragma once

#include "cw_ring_member.h"
#include "cw_time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Holds that this keeper has confirmed. A hold is the request of a keeper, its holder, to grant no
/// leases to an upstream until the table of its service passes the base epoch of the hold or the
/// holder cancels it.
class cw_hold_registry {
public:
    /// Adds a hold; false if the holder has already cancelled it or has requested a later one.
    bool add(const cw_ring_member& member, const std::string& upstream, std::uint64_t nonce,
             std::uint64_t base_epoch, cw_time_point now);
    void remove(const cw_ring_member& member, const std::string& upstream, std::uint64_t nonce);
    [[nodiscard]] bool is_held(const std::string& upstream, std::uint64_t table_epoch) const;
    /// The keeper that requested an active hold.
    struct holder {
        cw_ring_member member;
        cw_time_point added_at;
    };
    [[nodiscard]] std::vector<holder> holders(const std::string& upstream,
                                              std::uint64_t table_epoch) const;

private:
    struct hold {
        std::uint64_t nonce = 0;
        std::uint64_t base_epoch = 0;
        bool active = false;
        cw_time_point added_at{};
    };

    std::map<std::string, std::map<cw_ring_member, hold>> holds_;
};
