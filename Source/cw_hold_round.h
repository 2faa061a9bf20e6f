#pragma once

#include "cw_peer_message.h"
#include "cw_ring_member.h"
#include "cw_time.h"

#include <cstdint>
#include <set>
#include <string>

class cw_keeper_context;
class cw_membership;

/// Requests a hold on an upstream from all other members of the ring, and collects their
/// acknowledgements.
class cw_hold_round {
public:
    cw_hold_round() = default;
    cw_hold_round(std::uint64_t nonce, std::string upstream, std::string service,
                  std::uint64_t base_epoch, cw_time_point leases_end);

    /// Sends the request, at each probe interval again, to the members that have not acknowledged
    /// it; true once all members of the current ring record have.
    [[nodiscard]] bool collect_acks(cw_keeper_context& context, cw_membership& membership,
                                    cw_time_point now);
    void on_acknowledgement(const cw_keeper_context& context, const cw_ring_member& from,
                            const cw_hold_ack_message& ack, cw_time_point now);
    /// Cancels the hold at all members, because no table will be written under it.
    void cancel(cw_keeper_context& context, const cw_membership& membership) const;

    [[nodiscard]] std::uint64_t nonce() const { return nonce_; }
    [[nodiscard]] std::uint64_t base_epoch() const { return base_epoch_; }
    /// Latest end of any lease that this keeper or an acknowledging member may have granted.
    [[nodiscard]] cw_time_point leases_end() const { return leases_end_; }

private:
    /// Identifies the hold at its members; 0 if none was requested.
    std::uint64_t nonce_ = 0;
    std::string upstream_;
    std::string service_;
    std::uint64_t base_epoch_ = 0;
    cw_time_point leases_end_{};
    cw_time_point next_send_{};
    std::set<cw_ring_member> acknowledged_;
};
