#include "cw_lease_holder.h"

#include <algorithm>

cw_lease_outcome cw_lease_holder::apply_grant(const cw_lease_grant& grant) {
    if (!grant.deadline) {
        return cw_lease_outcome::accepted;
    }
    if (grant.incarnation != incarnation_) {
        return cw_lease_outcome::wrong_incarnation;
    }
    if (checks_fences_ && grant.fence < fence_) {
        return cw_lease_outcome::stale_fence;
    }
    if (grant.fence != fence_) {
        if (!grant.slices) {
            return cw_lease_outcome::need_slices;
        }
        fence_ = grant.fence;
        slices_ = *grant.slices;
        deadline_ = *grant.deadline;
        return cw_lease_outcome::accepted;
    }
    deadline_ = std::max(deadline_, *grant.deadline);
    return cw_lease_outcome::accepted;
}

cw_lease_reply cw_lease_holder::on_grant(const cw_lease_grant& grant, cw_upstream_time now) {
    cw_lease_reply reply;
    reply.upstream = grant.upstream;
    reply.exchange = grant.exchange;
    reply.outcome = apply_grant(grant);
    reply.incarnation = incarnation_;
    reply.clock = now;
    reply.held_fence = fence_;
    reply.draining = draining_;
    return reply;
}

const cw_slice* cw_lease_holder::find_slice(std::uint64_t hash) const {
    const auto found = std::find_if(slices_.begin(), slices_.end(),
                                    [&](const cw_slice& slice) { return slice.contains(hash); });
    return found == slices_.end() ? nullptr : &*found;
}
