#include "cw_upstream_continuity.h"

#include <algorithm>

cw_boot_time cw_upstream_continuity::established_by(const cw_ownership_command& grant) const {
    const auto found = answered_until_.find(grant.upstream.address);
    return found == answered_until_.end() ? grant.confirmed_at
                                          : std::max(grant.confirmed_at, found->second);
}

void cw_upstream_continuity::on_answer(const cw_ownership_command& grant, cw_boot_time sent_at) {
    if (answered_until_.size() >= max_upstreams) {
        answered_until_.clear();
    }
    auto& until = answered_until_[grant.upstream.address];
    until = std::max(until, sent_at);
}
