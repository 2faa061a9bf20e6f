#include "cw_slice_mover.h"

#include "cw_keeper_context.h"
#include "cw_lease_keeper.h"
#include "cw_membership.h"
#include "cw_store_key.h"

#include <algorithm>

cw_slice_mover::cw_slice_mover(cw_keeper_context& context, cw_membership& membership,
                               cw_lease_keeper& leases)
    : context_{context},
      membership_{membership},
      leases_{leases} {}

bool cw_slice_mover::is_idle(const std::string& service) const {
    return std::none_of(handovers_.begin(), handovers_.end(),
                        [&](const auto& entry) { return entry.second.service == service; });
}

bool cw_slice_mover::start_handover(const std::string& upstream, std::vector<cw_slice_move> moves,
                                    cw_time_point now) {
    const auto* lease = leases_.lease(upstream);
    if (lease == nullptr || handovers_.contains(upstream) || moves.empty() ||
        !leases_.may_grant(upstream, now) || !membership_.confirm_store(now)) {
        return false;
    }
    handover current;
    current.service = lease->service;
    current.moves = std::move(moves);
    current.deadline = now + 2 * context_.timings().lease_duration;
    claim_epoch(current, now);
    handovers_.emplace(upstream, std::move(current));
    return true;
}

void cw_slice_mover::claim_epoch(handover& current, cw_time_point now) {
    const auto* stored = context_.table(current.service);
    current.stage = handover_stage::claiming;
    current.base_epoch = stored->table.epoch();
    current.holds = {};
    auto next = stored->table.with_epoch("", current.base_epoch + 1);
    const auto writer = context_.next_writer();
    next.set_writer(writer);
    current.write = cw_write_command{cw_table_key(current.service), next.to_json(),
                                     stored->store_version, writer};
    current.resend_at = now + context_.timings().store_retry_interval;
    context_.emit(*current.write);
}

void cw_slice_mover::begin_revocation(const std::string& upstream, handover& current,
                                      cw_time_point now) {
    const auto* stored = context_.table(current.service);
    const auto* config = context_.service_config(current.service);
    current.base_epoch = stored->table.epoch();
    current.store_version = stored->store_version;
    current.write.reset();
    current.holds = {};
    if (config != nullptr && !config->checks_fences) {
        current.stage = handover_stage::holding;
        current.holds = {context_.next_id(), upstream, current.service, current.base_epoch, now};
        collect_holds(upstream, current, now);
        return;
    }
    revoke(upstream, current);
}

void cw_slice_mover::collect_holds(const std::string& upstream, handover& current,
                                   cw_time_point now) {
    const bool complete = current.holds.collect_acks(context_, membership_, now);
    const auto* lease = leases_.lease(upstream);
    if (complete && now > current.holds.leases_end() && now > membership_.removed_leases_end() &&
        now > lease->latest_unanswered_end && lease->exchange == 0) {
        revoke(upstream, current);
    }
}

void cw_slice_mover::revoke(const std::string& upstream, handover& current) {
    const auto* stored = context_.table(current.service);
    current.stage = handover_stage::revoking;
    const auto after = stored->table.with_moves(current.moves, current.base_epoch + 1);
    auto* lease = leases_.lease(upstream);
    lease->override_grant = cw_grant_override{current.fence, after.owned_by(upstream)};
    leases_.send_now(upstream);
}

void cw_slice_mover::on_hold_ack(const cw_ring_member& from, const cw_hold_ack_message& ack,
                                 cw_time_point now) {
    for (auto& [upstream, current] : handovers_) {
        current.holds.on_acknowledgement(context_, from, ack, now);
        if (current.stage == handover_stage::holding) {
            collect_holds(upstream, current, now);
        }
    }
}

void cw_slice_mover::on_reply(const cw_lease_reply& reply, cw_time_point now) {
    const auto found = handovers_.find(reply.upstream);
    if (found == handovers_.end() || found->second.stage != handover_stage::revoking) {
        return;
    }
    const auto* lease = leases_.lease(reply.upstream);
    if (reply.outcome == cw_lease_outcome::accepted && lease->override_grant &&
        reply.incarnation == lease->incarnation &&
        reply.held_fence == lease->override_grant->fence) {
        write_table(reply.upstream, found->second, now);
    }
}

void cw_slice_mover::write_table(const std::string& upstream, handover& current,
                                 cw_time_point now) {
    const auto* stored = context_.table(current.service);
    if (stored->store_version != current.store_version) {
        return;
    }
    current.stage = handover_stage::writing;
    auto next = stored->table.with_moves(current.moves, current.base_epoch + 1);
    const auto writer = context_.next_writer();
    next.set_writer(writer);
    current.write = cw_write_command{cw_table_key(current.service), next.to_json(),
                                     stored->store_version, writer};
    current.resend_at = now + context_.timings().store_retry_interval;
    context_.record_event("slices-revoked", upstream,
                          std::to_string(current.moves.size()) + " slices");
    context_.emit(*current.write);
}

void cw_slice_mover::abandon(const std::string& upstream, const handover& current) {
    if (auto* lease = leases_.lease(upstream); lease != nullptr) {
        lease->override_grant.reset();
    }
    current.holds.cancel(context_, membership_);
    leases_.send_now(upstream);
}

bool cw_slice_mover::finish_or_continue(const std::string& upstream, handover& current,
                                        cw_time_point now) {
    const auto* stored = context_.table(current.service);
    if (stored->table.epoch() > current.base_epoch) {
        const bool is_own_write = current.write && stored->table.writer() == current.write->writer;
        if (is_own_write && current.stage == handover_stage::claiming) {
            current.fence = stored->table.epoch();
            current.fence_at_claim = stored->table.fence_of(upstream);
            begin_revocation(upstream, current, now);
            return false;
        }
        const bool still_owns =
            std::any_of(current.moves.begin(), current.moves.end(), [&](const auto& move) {
                return stored->table.slice_of(move.first).owner == upstream;
            });
        if (is_own_write || !still_owns || now >= current.deadline) {
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
    // Once the changed table may have been written, only a later table shows the outcome.
    const bool may_abandon = !current.write || current.stage == handover_stage::claiming;
    if (may_abandon && (now >= current.deadline || leases_.is_suspected(upstream, now))) {
        abandon(upstream, current);
        return true;
    }
    return false;
}

void cw_slice_mover::rebase(const std::string& upstream, handover& current, cw_time_point now) {
    const auto* stored = context_.table(current.service);
    const auto* config = context_.service_config(current.service);
    if (current.stage == handover_stage::claiming ||
        stored->table.fence_of(upstream) != current.fence_at_claim) {
        claim_epoch(current, now);
        return;
    }
    // A new claim after each write of another keeper would let concurrent hand-overs of one service
    // invalidate each other without end.
    if (config == nullptr || !config->checks_fences) {
        // The members' holds are valid for one epoch only.
        begin_revocation(upstream, current, now);
        return;
    }
    current.base_epoch = stored->table.epoch();
    current.store_version = stored->store_version;
    current.write.reset();
    if (current.stage == handover_stage::writing) {
        write_table(upstream, current, now);
    }
}

void cw_slice_mover::on_tick(cw_time_point now) {
    for (auto it = handovers_.begin(); it != handovers_.end();) {
        auto& [upstream, current] = *it;
        if (finish_or_continue(upstream, current, now)) {
            it = handovers_.erase(it);
            continue;
        }
        if (current.stage == handover_stage::holding) {
            collect_holds(upstream, current, now);
        }
        if (current.write && now >= current.resend_at) {
            current.resend_at = now + context_.timings().store_retry_interval;
            context_.emit(*current.write);
        }
        ++it;
    }
}

void cw_slice_mover::on_write(const cw_write_event& event) {
    for (auto& [upstream, current] : handovers_) {
        if (current.write && current.write->writer == event.writer &&
            event.outcome != cw_write_outcome::unknown) {
            context_.emit(cw_read_command{cw_table_key(current.service)});
        }
    }
}
