#include "cw_hold_round.h"

#include "cw_keeper_context.h"
#include "cw_membership.h"

#include <algorithm>

cw_hold_round::cw_hold_round(std::uint64_t nonce, std::string upstream, std::string service,
                             std::uint64_t base_epoch, cw_time_point leases_end)
    : nonce_{nonce},
      upstream_{std::move(upstream)},
      service_{std::move(service)},
      base_epoch_{base_epoch},
      leases_end_{leases_end} {}

bool cw_hold_round::collect_acks(cw_keeper_context& context, cw_membership& membership,
                                 cw_time_point now) {
    const bool is_send_due = now >= next_send_;
    if (is_send_due) {
        next_send_ = now + context.timings().probe_interval;
    }
    bool complete = true;
    for (const auto& member : membership.ring()->members) {
        if (member == context.self() || acknowledged_.contains(member)) {
            continue;
        }
        complete = false;
        if (is_send_due) {
            context.send(member.host, cw_hold_message{nonce_, upstream_, service_, base_epoch_});
        }
        if (!membership.is_alive(member.host, now)) {
            membership.shorten_removal_timeout();
        }
    }
    return complete;
}

void cw_hold_round::on_acknowledgement(const cw_keeper_context& context, const cw_ring_member& from,
                                       const cw_hold_ack_message& ack, cw_time_point now) {
    if (ack.nonce != nonce_ || nonce_ == 0) {
        return;
    }
    acknowledged_.insert(from);
    leases_end_ = std::max(leases_end_, now + ack.remaining + context.timings().max_clock_drift);
}

void cw_hold_round::cancel(cw_keeper_context& context, const cw_membership& membership) const {
    if (nonce_ == 0) {
        return;
    }
    for (const auto& member : membership.ring()->members) {
        if (member != context.self()) {
            context.send(member.host, cw_hold_cancel_message{nonce_, upstream_});
        }
    }
}
