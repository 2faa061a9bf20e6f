#include "cw_releaser.h"

#include "cw_balancer.h"
#include "cw_keeper_context.h"
#include "cw_membership.h"
#include "cw_planner.h"
#include "cw_store_key.h"

#include <algorithm>

namespace {
/// Time that each living keeper leaves to the one before it.
constexpr std::chrono::milliseconds deputy_patience{300};
} // namespace

cw_releaser::cw_releaser(cw_keeper_context& context, cw_membership& membership,
                         const cw_balancer& balancer)
    : context_{context},
      membership_{membership},
      balancer_{balancer} {}

std::vector<std::string> cw_releaser::wards() const {
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

void cw_releaser::on_ring(const cw_ring_event& event, cw_time_point now) {
    const auto names = wards();
    if (std::find(names.begin(), names.end(), event.ring.domain) == names.end()) {
        return;
    }
    auto& state = wards_[event.ring.domain];
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

void cw_releaser::on_write(const cw_write_event& event) {
    if (event.outcome == cw_write_outcome::unknown) {
        return;
    }
    for (const auto& [domain, state] : wards_) {
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

void cw_releaser::on_tick(cw_time_point now) {
    if (membership_.is_retired()) {
        return;
    }
    for (const auto& domain : wards()) {
        watch_over(domain, wards_[domain], now);
    }
}

bool cw_releaser::is_silent(const ward& state, cw_time_point now) const {
    return std::none_of(
        state.ring->members.begin(), state.ring->members.end(),
        [&](const cw_ring_member& member) { return membership_.is_alive(member.host, now); });
}

bool cw_releaser::may_release(const ward& state, cw_time_point now) const {
    const auto& ring = *state.ring;
    if (!ring.is_deputy(context_.self()) || !state.silent_since) {
        return false;
    }
    // The first living deputy acts; its domain's leader may be none of them. The next acts when the
    // first has not, for it may be cut off from the store.
    const auto before =
        std::count_if(ring.deputies.begin(), ring.deputies.end(), [&](const auto& deputy) {
            return deputy < context_.self() && membership_.is_alive(deputy, now);
        });
    if (now < *state.silent_since + before * deputy_patience) {
        return false;
    }
    return std::all_of(ring.members.begin(), ring.members.end(), [&](const auto& member) {
        return membership_.counts_on_me(member, ring.deputies_since) ||
               context_.is_host_gone(member.host, now);
    });
}

std::vector<std::string> cw_releaser::services_in(const std::string& domain) const {
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

void cw_releaser::watch_over(const std::string& domain, ward& state, cw_time_point now) {
    if (!state.ring) {
        return;
    }
    if (!is_silent(state, now)) {
        state.silent_since.reset();
    } else if (!state.silent_since) {
        state.silent_since = now;
    }
    resend(state, now);
    take_over(domain, state, now);
    const auto services = services_in(domain);
    if (!state.ring_write && !services.empty() && may_release(state, now)) {
        release(domain, state, services, now);
    }
}

void cw_releaser::release(const std::string& domain, ward& state,
                          const std::vector<std::string>& services, cw_time_point now) {
    auto next = *state.ring;
    for (const auto& service : services) {
        next.released[service] = context_.table(service)->table.epoch();
    }
    if (next.released == state.ring->released) {
        return;
    }
    // Promises withheld during an outage would stop the domain for nothing.
    if (now >= state.read_sent + context_.timings().store_freshness) {
        if (now >= state.next_read) {
            state.next_read = now + context_.timings().ask;
            context_.emit(cw_read_command{cw_ring_key(domain)});
        }
        return;
    }
    // From here on no member of the domain is promised anything by the record it may know.
    membership_.withhold_promises(domain, next.epoch);
    ++next.epoch;
    next.writer = context_.next_writer();
    state.ring_write =
        cw_write_command{cw_ring_key(domain), next.to_json(), state.store_version, next.writer};
    state.resend_at = now + context_.timings().store_retry;
    context_.note("domain-silent", domain, std::to_string(services.size()) + " services released");
    context_.emit(*state.ring_write);
}

void cw_releaser::take_over(const std::string& domain, ward& state, cw_time_point now) {
    // The leader writes, and each next member when those before it have not.
    const auto alive = membership_.alive_members(now);
    const auto rank = std::find(alive.begin(), alive.end(), context_.self().host) - alive.begin();
    for (const auto& [service, epoch] : state.ring->released) {
        const auto* stored = context_.table(service);
        if (stored == nullptr || stored->table.epoch() != epoch) {
            state.table_writes.erase(service);
            continue;
        }
        if (state.table_writes.contains(service) || !membership_.is_member() ||
            now <= state.released_seen + context_.timings().settle() + rank * deputy_patience) {
            continue;
        }
        std::vector<std::string> lost;
        for (const auto& [id, owner] : stored->table.owners()) {
            if (owner.domain == domain) {
                lost.push_back(id);
            }
        }
        auto targets = balancer_.candidates(service, now);
        std::erase_if(targets, [&](const auto& place) { return place.domain == domain; });
        const auto moves =
            cw_planner::replace(stored->table, balancer_.load(service), lost, targets);
        if (moves.empty()) {
            continue;
        }
        auto next = stored->table.moved(moves, epoch + 1);
        const auto writer = context_.next_writer();
        next.set_writer(writer);
        const cw_write_command write{cw_table_key(service), next.to_json(), stored->store_version,
                                     writer};
        state.table_writes.emplace(service, write);
        state.resend_at = now + context_.timings().store_retry;
        context_.note("domain-taken-over", domain,
                      service + ", " + std::to_string(moves.size()) + " slices");
        context_.emit(write);
    }
}

void cw_releaser::resend(ward& state, cw_time_point now) {
    if (now < state.resend_at) {
        return;
    }
    state.resend_at = now + context_.timings().store_retry;
    if (state.ring_write) {
        context_.emit(*state.ring_write);
    }
    for (const auto& [service, write] : state.table_writes) {
        context_.emit(write);
    }
}
