#include "cw_lease_keeper.h"

#include "cw_keeper_context.h"
#include "cw_membership.h"
#include "cw_store_key.h"

#include <algorithm>

namespace {

/// Consecutive failed exchanges after which an upstream is suspected before
/// cw_timings::suspicion_timeout has passed.
constexpr std::uint32_t failures_for_suspicion = 2;

std::chrono::milliseconds rounded_up(std::chrono::nanoseconds duration) {
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(duration),
                    std::chrono::milliseconds{0});
}

} // namespace

cw_lease_keeper::cw_lease_keeper(cw_keeper_context& context, cw_membership& membership)
    : context_{context},
      membership_{membership} {}

cw_upstream_lease* cw_lease_keeper::lease(const std::string& upstream) {
    const auto found = leases_.find(upstream);
    return found == leases_.end() ? nullptr : &found->second;
}

bool cw_lease_keeper::is_responsible(const std::string& upstream, cw_time_point now) const {
    const auto found = leases_.find(upstream);
    if (found == leases_.end() || !membership_.is_member() || membership_.is_retired()) {
        return false;
    }
    if (now < found->second.acting_until) {
        return true;
    }
    return now >= found->second.deferring_until && membership_.is_primary(upstream, now);
}

bool cw_lease_keeper::is_suspected(const std::string& upstream, cw_time_point now) const {
    const auto found = leases_.find(upstream);
    if (found == leases_.end() || !found->second.unresponsive_since) {
        return false;
    }
    return found->second.failures >= failures_for_suspicion ||
           now >= *found->second.unresponsive_since + context_.timings().suspicion_timeout;
}

bool cw_lease_keeper::is_healthy(const std::string& upstream, cw_time_point now) const {
    const auto found = leases_.find(upstream);
    return found != leases_.end() && found->second.last_answer &&
           !found->second.unresponsive_since &&
           now < *found->second.last_answer + context_.timings().lease_duration;
}

bool cw_lease_keeper::is_admitted(const std::string& service) const {
    const auto found = admitted_.find(service);
    return membership_.is_member() && found != admitted_.end() &&
           found->second == membership_.joined_epoch();
}

bool cw_lease_keeper::may_grant(const std::string& upstream, cw_time_point now) const {
    const auto found = leases_.find(upstream);
    if (found == leases_.end()) {
        return false;
    }
    const auto& service = found->second.service;
    const auto* stored = context_.table(service);
    const auto* config = context_.service_config(service);
    if (stored == nullptr || config == nullptr || !is_admitted(service)) {
        return false;
    }
    if (holds_.is_held(upstream, stored->table.epoch())) {
        return false;
    }
    if (is_released(service, stored->table.epoch())) {
        return false;
    }
    return membership_.may_grant(config->partition_policy, now);
}

void cw_lease_keeper::send_now(const std::string& upstream) {
    if (auto* known = lease(upstream); known != nullptr) {
        known->next_send = {};
    }
}

void cw_lease_keeper::set_location(const std::string& upstream, const std::string& service,
                                   const std::string& address) {
    auto& lease = leases_[upstream];
    if (lease.address != address) {
        // A different process listens at the new address; only the end of the leases already
        // granted is kept.
        const auto latest_lease_end = lease.latest_lease_end;
        lease = {};
        lease.latest_lease_end = latest_lease_end;
    }
    lease.service = service;
    lease.address = address;
}

void cw_lease_keeper::update_upstreams() {
    for (const auto& [id, host] : context_.hosts()) {
        const auto* service = context_.service_config(host.service);
        const auto* stored = context_.table(host.service);
        const bool is_local = host.kind == cw_host_kind::upstream &&
                              host.domain == context_.domain() && service != nullptr &&
                              service->keyed;
        if (is_local && (stored == nullptr || !stored->table.owns_slices(id))) {
            set_location(id, host.service, host.address);
        }
    }
    for (const auto& [service, stored] : context_.tables()) {
        for (const auto& [id, owner] : stored.table.owners()) {
            if (owner.domain == context_.domain() && stored.table.owns_slices(id)) {
                set_location(id, service, owner.address);
            }
        }
    }
}

void cw_lease_keeper::admit_services(cw_time_point now) {
    const auto* config = context_.config();
    const auto* domain = config == nullptr ? nullptr : config->domain(context_.domain());
    if (domain == nullptr || !membership_.is_member() || membership_.is_retired()) {
        return;
    }
    for (const auto& service : config->services) {
        const auto* stored = context_.table(service.name);
        if (!service.keyed || service.firm != domain->firm || stored == nullptr) {
            continue;
        }
        if (!is_admitted(service.name) || is_released(service.name, stored->table.epoch())) {
            raise_epoch(service.name, "", 0, now);
        }
    }
}

bool cw_lease_keeper::is_released(const std::string& service, std::uint64_t table_epoch) const {
    const auto& released = membership_.ring()->released;
    const auto found = released.find(service);
    return found != released.end() && table_epoch <= found->second;
}

void cw_lease_keeper::raise_epoch(const std::string& service, const std::string& upstream,
                                  std::uint64_t min_epoch, cw_time_point now) {
    const auto* stored = context_.table(service);
    auto& pending = epoch_writes_[service];
    if (stored == nullptr || now < pending.retry_at) {
        return;
    }
    pending.epoch = std::max(stored->table.epoch() + 1, min_epoch);
    pending.writer = context_.next_writer();
    pending.retry_at = now + context_.timings().store_retry_interval;
    auto next = stored->table.with_epoch(upstream, pending.epoch);
    next.set_writer(pending.writer);
    context_.emit(cw_write_command{cw_table_key(service), next.to_json(), stored->store_version,
                                   pending.writer});
}

void cw_lease_keeper::on_write(const cw_write_event& event) {
    for (auto& [service, pending] : epoch_writes_) {
        if (pending.writer != event.writer) {
            continue;
        }
        if (event.outcome == cw_write_outcome::done) {
            admitted_[service] = membership_.joined_epoch();
        }
        if (event.outcome != cw_write_outcome::unknown) {
            pending.retry_at = {};
            context_.emit(cw_read_command{cw_table_key(service)});
        }
    }
}

void cw_lease_keeper::on_table(const cw_stored_table& stored, cw_time_point now) {
    const auto& table = stored.table;
    const auto epoch_write = epoch_writes_.find(table.service());
    if (epoch_write != epoch_writes_.end() && !table.writer().empty() &&
        epoch_write->second.writer == table.writer()) {
        admitted_[table.service()] = membership_.joined_epoch();
    }
    update_upstreams();
    for (auto& [id, lease] : leases_) {
        if (lease.service == table.service() && table.fence_of(id) > lease.held_fence) {
            lease.next_send = now;
        }
    }
}

void cw_lease_keeper::on_hold(const cw_ring_member& from, const cw_hold_message& hold,
                              cw_time_point now) {
    auto& lease = leases_[hold.upstream];
    lease.service = hold.service;
    if (!holds_.add(from, hold.upstream, hold.nonce, hold.base_epoch, now)) {
        return;
    }
    context_.send(from.host,
                  cw_hold_ack_message{hold.nonce, rounded_up(lease.latest_lease_end - now)});
    // The keeper that requested the hold may itself be disconnected, so this keeper checks the
    // upstream.
    if (is_healthy(hold.upstream, now) && lease.last_answer &&
        now < *lease.last_answer + context_.timings().probe_interval) {
        context_.send(from.host, cw_reachable_message{hold.upstream});
        lease.acting_until = now + context_.timings().removal_timeout;
    } else if (lease.exchange == 0) {
        send(hold.upstream, lease, false, now);
    }
}

void cw_lease_keeper::on_hold_cancel(const cw_ring_member& from,
                                     const cw_hold_cancel_message& cancellation) {
    holds_.remove(from, cancellation.upstream, cancellation.nonce);
    send_now(cancellation.upstream);
}

void cw_lease_keeper::on_tick(cw_time_point now) {
    admit_services(now);
    for (auto& [id, lease] : leases_) {
        expire_or_renew(id, lease, now);
    }
}

void cw_lease_keeper::expire_or_renew(const std::string& upstream, cw_upstream_lease& lease,
                                      cw_time_point now) {
    expire_exchange(lease, now);
    const bool is_due = lease.exchange == 0 && now >= lease.next_send;
    if (is_due && is_responsible(upstream, now)) {
        void_stale_hold(upstream, lease, now);
        renew(upstream, lease, now);
    }
}

void cw_lease_keeper::expire_exchange(cw_upstream_lease& lease, cw_time_point now) {
    const auto exchange_timeout = context_.timings().probe_interval * 2;
    if (lease.exchange != 0 && now >= lease.exchange_sent + exchange_timeout) {
        lease.exchange = 0;
        lease.latest_unanswered_end = lease.latest_lease_end;
        if (!lease.unresponsive_since) {
            lease.unresponsive_since = lease.exchange_sent;
        }
        lease.next_send = now;
    }
}

void cw_lease_keeper::void_stale_hold(const std::string& upstream, cw_upstream_lease& lease,
                                      cw_time_point now) {
    const auto* stored = context_.table(lease.service);
    if (stored == nullptr || !is_healthy(upstream, now)) {
        return;
    }
    const auto holders = holds_.holders(upstream, stored->table.epoch());
    const bool is_stale = std::any_of(holders.begin(), holders.end(), [&](const auto& holder) {
        return holder.member != context_.self() &&
               (!membership_.is_alive(holder.member.host, now) ||
                now >= holder.added_at + context_.timings().removal_timeout);
    });
    if (is_stale) {
        // The holder does not respond or has not cancelled its hold in time, and the upstream is
        // healthy. A new table epoch ends the hold, and makes any table write that the holder may
        // still send fail.
        raise_epoch(lease.service, "", 0, now);
    }
}

void cw_lease_keeper::renew(const std::string& upstream, cw_upstream_lease& lease,
                            cw_time_point now) {
    if (lease.exchange != 0 || now < lease.next_send || lease.address.empty()) {
        return;
    }
    // An unresponsive upstream receives only a probe for its clock. It might accept a grant without
    // the answer arriving, and a failover would then have to wait until that lease expires.
    const bool with_lease =
        lease.clock_received && !lease.unresponsive_since && may_grant(upstream, now);
    send(upstream, lease, with_lease, now);
}

void cw_lease_keeper::send(const std::string& upstream, cw_upstream_lease& lease, bool with_lease,
                           cw_time_point now) {
    const auto* stored = context_.table(lease.service);
    if (lease.address.empty()) {
        return;
    }
    cw_lease_grant grant;
    grant.upstream = upstream;
    grant.address = lease.address;
    grant.exchange = context_.next_id();
    grant.incarnation = lease.incarnation;
    lease.exchange = grant.exchange;
    lease.exchange_sent = now;
    const bool probing = lease.unresponsive_since || !lease.clock_received;
    lease.next_send =
        now + (probing ? context_.timings().probe_interval : context_.timings().renewal_interval);
    const bool owns = stored != nullptr && stored->table.fence_of(upstream) != 0;
    if (with_lease && owns) {
        const auto& timings = context_.timings();
        grant.fence =
            lease.override_grant ? lease.override_grant->fence : stored->table.fence_of(upstream);
        // The upstream read its clock no later than the reply was received, so the deadline is at
        // most now + lease_duration regardless of the message delay.
        grant.deadline = lease.clock + std::chrono::floor<std::chrono::microseconds>(
                                           now - *lease.clock_received + timings.lease_duration);
        if (lease.held_fence != grant.fence || lease.needs_slices) {
            grant.slices = lease.override_grant ? lease.override_grant->slices
                                                : stored->table.owned_by(upstream);
        }
        const auto until = now + timings.lease_duration + timings.max_clock_drift;
        lease.latest_lease_end = std::max(lease.latest_lease_end, until);
    }
    context_.emit(cw_send_grant_command{std::move(grant)});
}

void cw_lease_keeper::on_reply(const cw_lease_reply& reply, cw_time_point now) {
    auto* known = lease(reply.upstream);
    if (known == nullptr) {
        return;
    }
    auto& state = *known;
    const bool current = state.exchange == reply.exchange;
    if (current) {
        state.exchange = 0;
    }
    if (reply.outcome == cw_lease_outcome::failed) {
        if (current) {
            ++state.failures;
            state.latest_unanswered_end = state.latest_lease_end;
            state.next_send = now + context_.timings().probe_interval;
            if (!state.unresponsive_since) {
                state.unresponsive_since = state.exchange_sent;
            }
        }
        return;
    }
    if (state.incarnation != reply.incarnation || !state.clock_received ||
        reply.clock > state.clock) {
        state.incarnation = reply.incarnation;
        state.clock = reply.clock;
        state.clock_received = now;
        state.held_fence = reply.held_fence;
    }
    const bool was_unresponsive = state.unresponsive_since.has_value() || !state.last_answer;
    state.last_answer = now;
    state.unresponsive_since.reset();
    state.failures = 0;
    state.draining = reply.draining;
    state.needs_slices = reply.outcome == cw_lease_outcome::need_slices;
    if (was_unresponsive || reply.outcome == cw_lease_outcome::need_slices ||
        reply.outcome == cw_lease_outcome::wrong_incarnation) {
        state.next_send = now;
    }
    if (reply.outcome == cw_lease_outcome::stale_fence) {
        handle_stale_fence(reply, state, now);
    }
    expire_or_renew(reply.upstream, state, now);
}

void cw_lease_keeper::handle_stale_fence(const cw_lease_reply& reply,
                                         const cw_upstream_lease& lease, cw_time_point now) {
    const auto* stored = context_.table(lease.service);
    if (stored == nullptr || lease.override_grant || !is_responsible(reply.upstream, now) ||
        reply.held_fence <= stored->table.fence_of(reply.upstream)) {
        return;
    }
    // Either a hand-over was started without writing its table, or the local table is outdated. A
    // fence above the held one covers both cases.
    context_.emit(cw_read_command{cw_table_key(lease.service)});
    raise_epoch(lease.service, reply.upstream, reply.held_fence + 1, now);
}
