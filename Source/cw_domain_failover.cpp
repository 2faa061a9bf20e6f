#include "cw_domain_failover.h"

#include "cw_balancer.h"
#include "cw_keeper_context.h"
#include "cw_membership.h"
#include "cw_planner.h"
#include "cw_store_key.h"

#include <algorithm>

namespace {
/// Delay after which a keeper acts in place of a keeper that ranks before it.
constexpr std::chrono::milliseconds deputy_delay{300};
} // namespace

cw_domain_failover::cw_domain_failover(cw_keeper_context& context, cw_membership& membership,
                                       const cw_balancer& balancer)
    : context_{context},
      membership_{membership},
      balancer_{balancer} {}

std::vector<std::string> cw_domain_failover::protected_domains() const {
    std::vector<std::string> names;
    if (context_.config() == nullptr) {
        return names;
    }
    for (const auto& domain : context_.config()->domains) {
        const auto* deputy = context_.config()->deputy_of(domain.name);
        if (deputy != nullptr && deputy->name == context_.domain()) {
            names.push_back(domain.name);
        }
    }
    return names;
}

void cw_domain_failover::on_ring(const cw_ring_event& event, cw_time_point now) {
    const auto names = protected_domains();
    if (std::find(names.begin(), names.end(), event.ring.domain) == names.end()) {
        return;
    }
    auto& state = domains_[event.ring.domain];
    state.read_sent = std::max(state.read_sent, event.sent);
    if (state.ring && event.store_version <= state.store_version) {
        return;
    }
    if (!state.ring || state.ring->released != event.ring.released) {
        state.released_seen = now;
    }
    state.ring = event.ring;
    state.store_version = event.store_version;
    state.ring_write.reset();
}

void cw_domain_failover::on_write(const cw_write_event& event) {
    if (event.outcome == cw_write_outcome::unknown) {
        return;
    }
    for (const auto& [domain, state] : domains_) {
        if (state.ring_write && state.ring_write->writer == event.writer) {
            context_.emit(cw_read_command{cw_ring_key(domain)});
        }
        for (const auto& [service, write] : state.table_writes) {
            if (write.writer == event.writer) {
                context_.emit(cw_read_command{cw_table_key(service)});
            }
        }
    }
}

void cw_domain_failover::on_tick(cw_time_point now) {
    if (membership_.is_retired()) {
        return;
    }
    for (const auto& domain : protected_domains()) {
        update_domain(domain, domains_[domain], now);
    }
}

bool cw_domain_failover::is_unresponsive(const domain_state& state, cw_time_point now) const {
    return std::none_of(
        state.ring->members.begin(), state.ring->members.end(),
        [&](const cw_ring_member& member) { return membership_.is_alive(member.host, now); });
}

bool cw_domain_failover::may_release(const domain_state& state, cw_time_point now) const {
    const auto& ring = *state.ring;
    if (!ring.is_deputy(context_.self()) || !state.unresponsive_since) {
        return false;
    }
    // The first deputy that responds acts; the first alive keeper of this domain need not be a
    // deputy. The next deputy acts if the first has not done so after deputy_delay, because the
    // first may be unable to reach the store.
    const auto before =
        std::count_if(ring.deputies.begin(), ring.deputies.end(), [&](const auto& deputy) {
            return deputy < context_.self() && membership_.is_alive(deputy, now);
        });
    if (now < *state.unresponsive_since + before * deputy_delay) {
        return false;
    }
    return std::all_of(ring.members.begin(), ring.members.end(), [&](const auto& member) {
        return membership_.depends_on_this_keeper(member, ring.deputies_epoch) ||
               context_.is_host_gone(member.host, now);
    });
}

std::vector<std::string> cw_domain_failover::release_services_in(const std::string& domain) const {
    std::vector<std::string> names;
    for (const auto& [service, stored] : context_.tables()) {
        const auto* config = context_.service_config(service);
        if (config == nullptr || config->partition_policy != cw_partition_policy::release) {
            continue;
        }
        const auto& table = stored.table;
        const auto& owners = table.owners();
        if (std::any_of(owners.begin(), owners.end(), [&](const auto& entry) {
                return entry.second.domain == domain && table.owns_slices(entry.first);
            })) {
            names.push_back(service);
        }
    }
    return names;
}

void cw_domain_failover::update_domain(const std::string& domain, domain_state& state,
                                       cw_time_point now) {
    if (!state.ring) {
        return;
    }
    if (!is_unresponsive(state, now)) {
        state.unresponsive_since.reset();
    } else if (!state.unresponsive_since) {
        state.unresponsive_since = now;
    }
    resend(state, now);
    take_over(domain, state, now);
    const auto services = release_services_in(domain);
    if (!state.ring_write && !services.empty() && may_release(state, now)) {
        release(domain, state, services, now);
    }
}

void cw_domain_failover::release(const std::string& domain, domain_state& state,
                                 const std::vector<std::string>& services, cw_time_point now) {
    auto next = *state.ring;
    for (const auto& service : services) {
        next.released[service] = context_.table(service)->table.epoch();
    }
    if (next.released == state.ring->released) {
        return;
    }
    // Requires a recent read of the store. Withholding promises while the store is down would stop
    // the domain although its services cannot be released.
    if (now >= state.read_sent + context_.timings().max_store_read_age) {
        if (now >= state.next_read) {
            state.next_read = now + context_.timings().promise_request_interval;
            context_.emit(cw_read_command{cw_ring_key(domain)});
        }
        return;
    }
    // From here on, no member of the domain receives a promise for the current or an earlier ring
    // record.
    membership_.withhold_promises(domain, next.epoch);
    ++next.epoch;
    next.writer = context_.next_writer();
    state.ring_write =
        cw_write_command{cw_ring_key(domain), next.to_json(), state.store_version, next.writer};
    state.resend_at = now + context_.timings().store_retry_interval;
    context_.record_event("domain-silent", domain,
                          std::to_string(services.size()) + " services released");
    context_.emit(*state.ring_write);
}

void cw_domain_failover::take_over(const std::string& domain, domain_state& state,
                                   cw_time_point now) {
    // The first alive member writes the table. Each later member writes it after a further
    // deputy_delay if the members before it have not.
    const auto alive = membership_.alive_members(now);
    const auto rank = std::find(alive.begin(), alive.end(), context_.self().host) - alive.begin();
    for (const auto& [service, epoch] : state.ring->released) {
        const auto* stored = context_.table(service);
        if (stored == nullptr || stored->table.epoch() != epoch) {
            state.table_writes.erase(service);
            continue;
        }
        if (state.table_writes.contains(service) || !membership_.is_member() ||
            now <= state.released_seen + context_.timings().settle_time() + rank * deputy_delay) {
            continue;
        }
        std::vector<std::string> lost;
        for (const auto& [id, owner] : stored->table.owners()) {
            if (owner.domain == domain) {
                lost.push_back(id);
            }
        }
        auto targets = balancer_.candidates(service, now);
        std::erase_if(targets, [&](const auto& target) { return target.domain == domain; });
        const auto moves =
            cw_planner::reassign(stored->table, balancer_.load(service), lost, targets);
        if (moves.empty()) {
            continue;
        }
        auto next = stored->table.with_moves(moves, epoch + 1);
        const auto writer = context_.next_writer();
        next.set_writer(writer);
        const cw_write_command write{cw_table_key(service), next.to_json(), stored->store_version,
                                     writer};
        state.table_writes.emplace(service, write);
        state.resend_at = now + context_.timings().store_retry_interval;
        context_.record_event("domain-taken-over", domain,
                              service + ", " + std::to_string(moves.size()) + " slices");
        context_.emit(write);
    }
}

void cw_domain_failover::resend(domain_state& state, cw_time_point now) {
    if (now < state.resend_at) {
        return;
    }
    state.resend_at = now + context_.timings().store_retry_interval;
    if (state.ring_write) {
        context_.emit(*state.ring_write);
    }
    for (const auto& [service, write] : state.table_writes) {
        context_.emit(write);
    }
}
