#include "cw_condemner.h"

#include "cw_balancer.h"
#include "cw_keeper_context.h"
#include "cw_lease_keeper.h"
#include "cw_membership.h"
#include "cw_planner.h"
#include "cw_store_key.h"

#include <algorithm>
#include <array>

cw_condemner::cw_condemner(cw_keeper_context& context, cw_membership& membership,
                           cw_lease_keeper& leases, const cw_balancer& balancer)
    : context_{context},
      membership_{membership},
      leases_{leases},
      balancer_{balancer} {}

void cw_condemner::on_tick(cw_time_point now) {
    for (const auto& [upstream, lease] : leases_.leases()) {
        consider(upstream, now);
    }
    for (auto place = rounds_.begin(); place != rounds_.end();) {
        auto& [upstream, current] = *place;
        const auto* stored = context_.table(current.service);
        const bool over = stored->table.epoch() > current.holds.base_epoch();
        const bool answered =
            !leases_.is_suspect(upstream, now) && leases_.is_healthy(upstream, now);
        if (!over && answered && !current.write) {
            cancel(upstream, current);
        }
        if (over || (answered && !current.write)) {
            place = rounds_.erase(place);
            continue;
        }
        advance(upstream, current, now);
        ++place;
    }
}

void cw_condemner::consider(const std::string& upstream, cw_time_point now) {
    const auto* lease = leases_.lease(upstream);
    const auto* stored = context_.table(lease->service);
    if (rounds_.contains(upstream) || stored == nullptr || !leases_.is_suspect(upstream, now) ||
        !leases_.is_responsible(upstream, now) || !stored->table.owns_slices(upstream)) {
        return;
    }
    const auto* config = context_.service_config(lease->service);
    if (config == nullptr || !membership_.may_grant(config->partition_policy, now)) {
        return;
    }
    const auto base_epoch = stored->table.epoch();
    const auto nonce = context_.next_number();
    round current;
    current.service = lease->service;
    current.started = now;
    current.holds = {nonce, upstream, lease->service, base_epoch, lease->possible_until};
    leases_.holds().add(context_.self(), upstream, nonce, base_epoch, now);
    membership_.read_ring(now);
    context_.note("upstream-suspected", upstream, "epoch " + std::to_string(base_epoch));
    rounds_.emplace(upstream, std::move(current));
}

void cw_condemner::on_hold_ack(const cw_ring_member& from, const cw_hold_ack_message& ack,
                               cw_time_point now) {
    for (auto& [upstream, current] : rounds_) {
        current.holds.on_acknowledgement(context_, from, ack, now);
    }
}

void cw_condemner::on_reachable(const std::string& upstream, cw_time_point now) {
    const auto found = rounds_.find(upstream);
    if (found == rounds_.end() || found->second.write) {
        return;
    }
    cancel(upstream, found->second);
    rounds_.erase(found);
    // The peer that reaches the upstream renews it for a while; this keeper stands back.
    auto* lease = leases_.lease(upstream);
    lease->adopted_until = {};
    lease->avoided_until = now + context_.timings().removal;
}

void cw_condemner::cancel(const std::string& upstream, const round& current) {
    leases_.holds().remove(context_.self(), upstream, current.holds.nonce());
    current.holds.take_back(context_, membership_);
    leases_.hurry(upstream);
    context_.note("upstream-answers-again", upstream);
}

void cw_condemner::advance(const std::string& upstream, round& current, cw_time_point now) {
    if (current.write) {
        if (now >= current.resend_at) {
            current.resend_at = now + context_.timings().store_retry;
            context_.emit(*current.write);
        }
        return;
    }
    if (!membership_.is_member()) {
        return;
    }
    if (!current.holds.collect(context_, membership_, now)) {
        return;
    }
    if (membership_.ring_read_sent() < current.started) {
        membership_.read_ring(now);
        return;
    }
    if (now > current.holds.lapse_at() && now > membership_.settled_at()) {
        write_table(upstream, current, now);
    }
}

void cw_condemner::write_table(const std::string& upstream, round& current, cw_time_point now) {
    const auto* stored = context_.table(current.service);
    const std::array<std::string, 1> lost{upstream};
    const auto moves = cw_planner::replace(stored->table, balancer_.load(current.service), lost,
                                           balancer_.candidates(current.service, now));
    if (moves.empty()) {
        return;
    }
    auto next = stored->table.moved(moves, current.holds.base_epoch() + 1);
    const auto writer = context_.next_writer();
    next.set_writer(writer);
    current.write = cw_write_command{cw_table_key(current.service), next.to_json(),
                                     stored->store_version, writer};
    current.resend_at = now + context_.timings().store_retry;
    context_.note("upstream-lost", upstream, std::to_string(moves.size()) + " slices to others");
    context_.emit(*current.write);
}

void cw_condemner::on_write(const cw_write_event& event) {
    for (auto& [upstream, current] : rounds_) {
        if (current.write && current.write->writer == event.writer &&
            event.outcome != cw_write_outcome::unknown) {
            // The table read next is above the base epoch and ends this round.
            context_.emit(cw_read_command{cw_table_key(current.service)});
        }
    }
}
