#include "cw_hold_registry.h"

#include <algorithm>

bool cw_hold_registry::add(const cw_ring_member& member, const std::string& upstream,
                           std::uint64_t nonce, std::uint64_t base_epoch, cw_time_point now) {
    auto& entry = holds_[upstream][member];
    if (nonce < entry.nonce || (nonce == entry.nonce && !entry.active)) {
        return false;
    }
    const auto earlier = entry.active ? entry.base_epoch : 0;
    const auto added_at = nonce == entry.nonce ? entry.added_at : now;
    entry = {nonce, std::max(base_epoch, earlier), true, added_at};
    return true;
}

void cw_hold_registry::remove(const cw_ring_member& member, const std::string& upstream,
                              std::uint64_t nonce) {
    auto& entry = holds_[upstream][member];
    if (nonce >= entry.nonce) {
        entry = {nonce, 0, false, {}};
    }
}

bool cw_hold_registry::is_held(const std::string& upstream, std::uint64_t table_epoch) const {
    const auto found = holds_.find(upstream);
    return found != holds_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const auto& entry) {
               return entry.second.active && entry.second.base_epoch >= table_epoch;
           });
}

std::vector<cw_hold_registry::holder> cw_hold_registry::holders(const std::string& upstream,
                                                                std::uint64_t table_epoch) const {
    std::vector<holder> result;
    const auto found = holds_.find(upstream);
    if (found == holds_.end()) {
        return result;
    }
    for (const auto& [member, entry] : found->second) {
        if (entry.active && entry.base_epoch >= table_epoch) {
            result.push_back({member, entry.added_at});
        }
    }
    return result;
}
