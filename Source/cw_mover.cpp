#include "cw_mover.h"

#include "cw_keeper_context.h"
#include "cw_lease_keeper.h"
#include "cw_membership.h"
#include "cw_store_key.h"

#include <algorithm>

cw_mover::cw_mover(cw_keeper_context& context, cw_membership& membership, cw_lease_keeper& leases)
    : context_{context},
      membership_{membership},
      leases_{leases} {}

bool cw_mover::is_idle(const std::string& service) const {
    return std::none_of(handovers_.begin(), handovers_.end(),
                        [&](const auto& entry) { return entry.second.service == service; });
}

bool cw_mover::start(const std::string& upstream, std::vector<cw_slice_move> moves,
                     cw_time_point now) {
    const auto* lease = leases_.lease(upstream);
    if (lease == nullptr || handovers_.contains(upstream) || moves.empty() ||
        !leases_.may_grant(upstream, now) || !membership_.confirm_store(now)) {
        return false;
    }
    handover current;
    current.service = lease->service;
    current.moves = std::move(moves);
    current.give_up_at = now + 2 * context_.timings().lease_duration;
    claim(current, now);
    handovers_.emplace(upstream, std::move(current));
    return true;
}

void cw_mover::claim(handover& current, cw_time_point now) {
    const auto* stored = context_.table(current.service);
    current.at = stage::claiming;
    current.base_epoch = stored->table.epoch();
    current.holds = {};
    auto next = stored->table.touched("", current.base_epoch + 1);
    const auto writer = context_.next_writer();
    next.set_writer(writer);
    current.write = cw_write_command{cw_table_key(current.service), next.to_json(),
                                     stored->store_version, writer};
    current.resend_at = now + context_.timings().store_retry_interval;
    context_.emit(*current.write);
}

void cw_mover::begin(const std::string& upstream, handover& current, cw_time_point now) {
    const auto* stored = context_.table(current.service);
    const auto* config = context_.service_config(current.service);
    current.base_epoch = stored->table.epoch();
    current.store_version = stored->store_version;
    current.write.reset();
    current.holds = {};
    if (config != nullptr && !config->checks_fences) {
        current.at = stage::holding;
        current.holds = {context_.next_id(), upstream, current.service, current.base_epoch, now};
        collect_holds(upstream, current, now);
        return;
    }
    revoke(upstream, current);
}

void cw_mover::collect_holds(const std::string& upstream, handover& current, cw_time_point now) {
    const bool complete = current.holds.collect_acks(context_, membership_, now);
    const auto* lease = leases_.lease(upstream);
    if (complete && now > current.holds.leases_end() && now > membership_.removed_leases_end() &&
        now > lease->latest_unanswered_end && lease->exchange == 0) {
        revoke(upstream, current);
    }
}

void cw_mover::revoke(const std::string& upstream, handover& current) {
    const auto* stored = context_.table(current.service);
    current.at = stage::revoking;
    const auto after = stored->table.moved(current.moves, current.base_epoch + 1);
    auto* lease = leases_.lease(upstream);
    lease->override_grant = cw_grant_override{current.fence, after.owned_by(upstream)};
    leases_.send_now(upstream);
}

void cw_mover::on_hold_ack(const cw_ring_member& from, const cw_hold_ack_message& ack,
                           cw_time_point now) {
    for (auto& [upstream, current] : handovers_) {
        current.holds.on_acknowledgement(context_, from, ack, now);
        if (current.at == stage::holding) {
            collect_holds(upstream, current, now);
        }
    }
}

void cw_mover::on_reply(const cw_lease_reply& reply, cw_time_point now) {
    const auto found = handovers_.find(reply.upstream);
    if (found == handovers_.end() || found->second.at != stage::revoking) {
        return;
    }
    const auto* lease = leases_.lease(reply.upstream);
    if (reply.outcome == cw_lease_outcome::accepted && lease->override_grant &&
        reply.incarnation == lease->incarnation &&
        reply.held_fence == lease->override_grant->fence) {
        write_table(reply.upstream, found->second, now);
    }
}

void cw_mover::write_table(const std::string& upstream, handover& current, cw_time_point now) {
    const auto* stored = context_.table(current.service);
    if (stored->store_version != current.store_version) {
        return;
    }
    current.at = stage::writing;
    auto next = stored->table.moved(current.moves, current.base_epoch + 1);
    const auto writer = context_.next_writer();
    next.set_writer(writer);
    current.write = cw_write_command{cw_table_key(current.service), next.to_json(),
                                     stored->store_version, writer};
    current.resend_at = now + context_.timings().store_retry_interval;
    context_.record_event("slices-revoked", upstream,
                          std::to_string(current.moves.size()) + " slices");
    context_.emit(*current.write);
}

void cw_mover::abandon(const std::string& upstream, const handover& current) {
    if (auto* lease = leases_.lease(upstream); lease != nullptr) {
        lease->override_grant.reset();
    }
    current.holds.cancel(context_, membership_);
    leases_.send_now(upstream);
}

bool cw_mover::is_over(const std::string& upstream, handover& current, cw_time_point now) {
    const auto* stored = context_.table(current.service);
    if (stored->table.epoch() > current.base_epoch) {
        const bool own = current.write && stored->table.writer() == current.write->writer;
        if (own && current.at == stage::claiming) {
            current.fence = stored->table.epoch();
            current.owned_fence = stored->table.fence_of(upstream);
            begin(upstream, current, now);
            return false;
        }
        const bool still_owns =
            std::any_of(current.moves.begin(), current.moves.end(), [&](const auto& move) {
                return stored->table.slice_of(move.first).owner == upstream;
            });
        if (own || !still_owns || now >= current.give_up_at) {
            leases_.lease(upstream)->override_grant.reset();
            context_.record_event(still_owns ? "move-dropped" : "slices-moved", upstream,
                                  std::to_string(current.moves.size()) + " slices, epoch " +
                                      std::to_string(stored->table.epoch()));
            leases_.send_now(upstream);
            return true;
        }
        rebase(upstream, current, now);
        return false;
    }
    // Once the table's change may have been written, only a later table tells how it ended.
    const bool may_abandon = !current.write || current.at == stage::claiming;
    if (may_abandon && (now >= current.give_up_at || leases_.is_suspected(upstream, now))) {
        abandon(upstream, current);
        return true;
    }
    return false;
}

void cw_mover::rebase(const std::string& upstream, handover& current, cw_time_point now) {
    const auto* stored = context_.table(current.service);
    const auto* config = context_.service_config(current.service);
    if (current.at == stage::claiming || stored->table.fence_of(upstream) != current.owned_fence) {
        claim(current, now);
        return;
    }
    // Claiming anew at each write of others would let hand-overs of one service overtake each other
    // for ever.
    if (config == nullptr || !config->checks_fences) {
        // The members' holds have ended with the new epoch.
        begin(upstream, current, now);
        return;
    }
    current.base_epoch = stored->table.epoch();
    current.store_version = stored->store_version;
    current.write.reset();
    if (current.at == stage::writing) {
        write_table(upstream, current, now);
    }
}

void cw_mover::on_tick(cw_time_point now) {
    for (auto place = handovers_.begin(); place != handovers_.end();) {
        auto& [upstream, current] = *place;
        if (is_over(upstream, current, now)) {
            place = handovers_.erase(place);
            continue;
        }
        if (current.at == stage::holding) {
            collect_holds(upstream, current, now);
        }
        if (current.write && now >= current.resend_at) {
            current.resend_at = now + context_.timings().store_retry_interval;
            context_.emit(*current.write);
        }
        ++place;
    }
}

void cw_mover::on_write(const cw_write_event& event) {
    for (auto& [upstream, current] : handovers_) {
        if (current.write && current.write->writer == event.writer &&
            event.outcome != cw_write_outcome::unknown) {
            context_.emit(cw_read_command{cw_table_key(current.service)});
        }
    }
}
