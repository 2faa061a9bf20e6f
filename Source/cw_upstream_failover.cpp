#include "cw_upstream_failover.h"

#include "cw_balancer.h"
#include "cw_keeper_context.h"
#include "cw_lease_keeper.h"
#include "cw_membership.h"
#include "cw_planner.h"
#include "cw_store_key.h"

#include <algorithm>
#include <array>

cw_upstream_failover::cw_upstream_failover(cw_keeper_context& context, cw_membership& membership,
                                           cw_lease_keeper& leases, const cw_balancer& balancer)
    : context_{context},
      membership_{membership},
      leases_{leases},
      balancer_{balancer} {}

void cw_upstream_failover::on_tick(cw_time_point now) {
    for (const auto& [upstream, lease] : leases_.leases()) {
        start_if_suspected(upstream, now);
    }
    for (auto entry = failovers_.begin(); entry != failovers_.end();) {
        auto& [upstream, current] = *entry;
        const auto* stored = context_.table(current.service);
        const bool is_superseded = stored->table.epoch() > current.holds.base_epoch();
        const bool answered =
            !leases_.is_suspected(upstream, now) && leases_.is_healthy(upstream, now);
        if (!is_superseded && answered && !current.write) {
            cancel(upstream, current);
        }
        if (is_superseded || (answered && !current.write)) {
            entry = failovers_.erase(entry);
            continue;
        }
        advance(upstream, current, now);
        ++entry;
    }
}

void cw_upstream_failover::start_if_suspected(const std::string& upstream, cw_time_point now) {
    const auto* lease = leases_.lease(upstream);
    const auto* stored = context_.table(lease->service);
    if (failovers_.contains(upstream) || stored == nullptr ||
        !leases_.is_suspected(upstream, now) || !leases_.is_responsible(upstream, now) ||
        !stored->table.owns_slices(upstream)) {
        return;
    }
    const auto* config = context_.service_config(lease->service);
    if (config == nullptr || !membership_.may_grant(config->partition_policy, now)) {
        return;
    }
    const auto base_epoch = stored->table.epoch();
    const auto nonce = context_.next_id();
    failover current;
    current.service = lease->service;
    current.started = now;
    current.holds = {nonce, upstream, lease->service, base_epoch, lease->latest_lease_end};
    leases_.holds().add(context_.self(), upstream, nonce, base_epoch, now);
    membership_.read_ring(now);
    context_.record_event("upstream-suspected", upstream, "epoch " + std::to_string(base_epoch));
    failovers_.emplace(upstream, std::move(current));
}

void cw_upstream_failover::on_hold_ack(const cw_ring_member& from, const cw_hold_ack_message& ack,
                                       cw_time_point now) {
    for (auto& [upstream, current] : failovers_) {
        current.holds.on_acknowledgement(context_, from, ack, now);
    }
}

void cw_upstream_failover::on_reachable(const std::string& upstream, cw_time_point now) {
    const auto found = failovers_.find(upstream);
    if (found == failovers_.end() || found->second.write) {
        return;
    }
    cancel(upstream, found->second);
    failovers_.erase(found);
    // The peer that reaches the upstream renews its leases for cw_timings::removal_timeout; this
    // keeper does not renew them during that time.
    auto* lease = leases_.lease(upstream);
    lease->acting_until = {};
    lease->deferring_until = now + context_.timings().removal_timeout;
}

void cw_upstream_failover::cancel(const std::string& upstream, const failover& current) {
    leases_.holds().remove(context_.self(), upstream, current.holds.nonce());
    current.holds.cancel(context_, membership_);
    leases_.send_now(upstream);
    context_.record_event("upstream-answers-again", upstream);
}

void cw_upstream_failover::advance(const std::string& upstream, failover& current,
                                   cw_time_point now) {
    if (current.write) {
        if (now >= current.resend_at) {
            current.resend_at = now + context_.timings().store_retry_interval;
            context_.emit(*current.write);
        }
        return;
    }
    if (!membership_.is_member()) {
        return;
    }
    if (!current.holds.collect_acks(context_, membership_, now)) {
        return;
    }
    if (membership_.ring_read_sent() < current.started) {
        membership_.read_ring(now);
        return;
    }
    if (now > current.holds.leases_end() && now > membership_.removed_leases_end()) {
        write_table(upstream, current, now);
    }
}

void cw_upstream_failover::write_table(const std::string& upstream, failover& current,
                                       cw_time_point now) {
    const auto* stored = context_.table(current.service);
    const std::array<std::string, 1> lost{upstream};
    const auto moves = cw_planner::reassign(stored->table, balancer_.load(current.service), lost,
                                            balancer_.candidates(current.service, now));
    if (moves.empty()) {
        return;
    }
    auto next = stored->table.with_moves(moves, current.holds.base_epoch() + 1);
    const auto writer = context_.next_writer();
    next.set_writer(writer);
    current.write = cw_write_command{cw_table_key(current.service), next.to_json(),
                                     stored->store_version, writer};
    current.resend_at = now + context_.timings().store_retry_interval;
    context_.record_event("upstream-lost", upstream,
                          std::to_string(moves.size()) + " slices to others");
    context_.emit(*current.write);
}

void cw_upstream_failover::on_write(const cw_write_event& event) {
    for (auto& [upstream, current] : failovers_) {
        if (current.write && current.write->writer == event.writer &&
            event.outcome != cw_write_outcome::unknown) {
            // The table that is read next has an epoch above the base epoch, which completes this
            // failover.
            context_.emit(cw_read_command{cw_table_key(current.service)});
        }
    }
}
