#pragma once

#include "cw_lease_grant.h"
#include "cw_lease_reply.h"
#include "cw_slice.h"
#include "cw_time.h"

#include <cstdint>
#include <vector>

/// The upstream's side of the lease protocol, as docs/UPSTREAMS.md specifies it for servers that
/// own keys.
class cw_lease_holder {
public:
    cw_lease_holder(std::uint64_t incarnation, bool checks_fences)
        : incarnation_{incarnation},
          checks_fences_{checks_fences} {}

    /// Accepts, renews or rejects a lease. `now` is the current time of the upstream's clock, to
    /// which the deadlines refer.
    [[nodiscard]] cw_lease_reply on_grant(const cw_lease_grant& grant, cw_upstream_time now);
    void set_draining(bool draining) { draining_ = draining; }

    [[nodiscard]] bool is_leased(cw_upstream_time now) const { return now < deadline_; }
    [[nodiscard]] cw_upstream_time deadline() const { return deadline_; }
    [[nodiscard]] std::uint64_t fence() const { return fence_; }
    [[nodiscard]] const std::vector<cw_slice>& slices() const { return slices_; }
    /// The slice of the last accepted grant that contains the hash, or null. Does not check the
    /// deadline.
    [[nodiscard]] const cw_slice* find_slice(std::uint64_t hash) const;

private:
    [[nodiscard]] cw_lease_outcome apply_grant(const cw_lease_grant& grant);

    std::uint64_t incarnation_;
    bool checks_fences_;
    bool draining_ = false;
    std::uint64_t fence_ = 0;
    cw_upstream_time deadline_ = cw_upstream_time::min();
    std::vector<cw_slice> slices_;
};
