#include "cw_balancer.h"

#include "cw_keeper_context.h"
#include "cw_lease_keeper.h"
#include "cw_membership.h"
#include "cw_mover.h"
#include "cw_store_key.h"

#include <algorithm>
#include <array>

namespace {

using namespace std::chrono_literals;

/// Interval between two load reports of one keeper to one domain.
constexpr auto share_interval = 5s;
/// Silence of all keepers of another domain after which its upstreams receive nothing.
constexpr auto domain_silence = 3 * share_interval;
constexpr auto plan_interval = 250ms;
/// Weight of the latest second in the smoothed load; chance must not look like imbalance.
constexpr double smoothing = 0.1;
/// Smoothed rates below this, in requests per second, are forgotten.
constexpr double least_rate = 0.01;
/// Slices in one report; the rest of the load is spread too thin to steer by.
constexpr std::size_t most_reported_slices = 48;

cw_slice_loads busiest(const cw_slice_loads& rates) {
    std::vector<std::pair<double, std::uint64_t>> order;
    for (const auto& [first, rate] : rates) {
        if (rate > 0.0) {
            order.emplace_back(rate, first);
        }
    }
    std::sort(order.rbegin(), order.rend());
    order.resize(std::min(order.size(), most_reported_slices));
    cw_slice_loads result;
    for (const auto& [rate, first] : order) {
        result[first] = rate;
    }
    return result;
}

} // namespace

cw_balancer::cw_balancer(cw_keeper_context& context, cw_membership& membership,
                         cw_lease_keeper& leases, cw_mover& mover)
    : context_{context},
      membership_{membership},
      leases_{leases},
      mover_{mover} {}

void cw_balancer::on_router_load(const cw_router_load_event& event) {
    auto& known = loads_[event.service][context_.self().host];
    for (auto& [first, rate] : known) {
        rate *= 1.0 - smoothing;
    }
    for (const auto& [first, rate] : event.rates) {
        known[first] += smoothing * rate;
    }
    std::erase_if(known, [](const auto& entry) { return entry.second < least_rate; });
}

void cw_balancer::on_peer_load(const cw_ring_member& from, const cw_load_message& load,
                               cw_time_point now) {
    loads_[load.service][from.host] = load.rates;
    unreachable_[from.host] = {load.unreachable.begin(), load.unreachable.end()};
    if (const auto* host = context_.host(from.host); host != nullptr) {
        domain_heard_[host->domain] = now;
    }
}

void cw_balancer::on_table(const cw_slice_table& table, cw_time_point now) {
    std::set<std::string> domains;
    for (const auto& [id, owner] : table.owners()) {
        if (table.owns_slices(id)) {
            domains.insert(owner.domain);
        }
    }
    for (const auto& domain : owning_domains_[table.service()]) {
        if (!domains.contains(domain)) {
            domain_emptied_[domain] = now;
        }
    }
    owning_domains_[table.service()] = std::move(domains);
    // The hold-down is one for the whole service: whoever moved slices, all wait.
    if (const auto* config = context_.service_config(table.service()); config != nullptr) {
        auto& owned = known_slices_[table.service()];
        if (owned != table.slices()) {
            owned = table.slices();
            next_balance_[table.service()] = now + config->hold_down;
        }
    }
}

cw_slice_loads cw_balancer::loads(const std::string& service) const {
    cw_slice_loads sum;
    const auto found = loads_.find(service);
    if (found == loads_.end()) {
        return sum;
    }
    for (const auto& [host, rates] : found->second) {
        if (context_.host(host) == nullptr) {
            continue;
        }
        for (const auto& [first, rate] : rates) {
            sum[first] += rate;
        }
    }
    return sum;
}

bool cw_balancer::may_receive(const cw_upstream_place& place, const std::string& service,
                              cw_time_point now) const {
    const auto* stored = context_.table(service);
    const auto* owner = stored == nullptr ? nullptr : stored->table.owner(place.id);
    if (owner != nullptr && owner->address != place.address &&
        stored->table.owns_slices(place.id)) {
        return false;
    }
    const bool reported =
        std::any_of(unreachable_.begin(), unreachable_.end(),
                    [&](const auto& entry) { return entry.second.contains(place.id); });
    if (place.domain == context_.domain()) {
        const auto found = leases_.leases().find(place.id);
        const bool fit = found != leases_.leases().end() && !found->second.silent_since &&
                         !found->second.draining;
        return fit && !reported &&
               (leases_.is_healthy(place.id, now) || !leases_.is_responsible(place.id, now));
    }
    const auto heard = domain_heard_.find(place.domain);
    const auto since = heard == domain_heard_.end() ? started_ : heard->second;
    // A domain that was taken over stays empty until it is heard again.
    const auto emptied = domain_emptied_.find(place.domain);
    const bool lost = emptied != domain_emptied_.end() && since <= emptied->second;
    return now < since + domain_silence && !reported && !lost;
}

std::vector<cw_upstream_place> cw_balancer::candidates(const std::string& service,
                                                       cw_time_point now) const {
    auto places = context_.live_upstreams(service);
    std::erase_if(places, [&](const auto& place) { return !may_receive(place, service, now); });
    return places;
}

void cw_balancer::on_tick(cw_time_point now) {
    if (started_ == cw_time_point{}) {
        started_ = now;
        next_share_ = now + plan_interval;
    }
    if (context_.config() == nullptr || !membership_.is_member() || membership_.is_retired()) {
        return;
    }
    const auto unfit = unfit_upstreams();
    if (now >= next_share_ || unfit != shared_unfit_) {
        shared_unfit_ = unfit;
        next_share_ = now + share_interval;
        share_load();
    }
    if (now < next_plan_) {
        return;
    }
    next_plan_ = now + plan_interval;
    drain(now);
    const auto* domain = context_.config()->domain(context_.domain());
    for (const auto& service : context_.config()->services) {
        if (domain == nullptr || !service.keyed || service.firm != domain->firm) {
            continue;
        }
        if (context_.table(service.name) == nullptr) {
            create_table(service, now);
        } else {
            balance(service, now);
        }
    }
}

void cw_balancer::create_table(const cw_service_config& service, cw_time_point now) {
    const auto places = context_.live_upstreams(service.name);
    auto& next = next_create_[service.name];
    if (places.empty() || now < next || !membership_.is_leader(now)) {
        return;
    }
    next = now + context_.timings().store_retry;
    auto table = cw_slice_table::initial(service.name, places, service.slices_per_upstream);
    const auto writer = context_.next_writer();
    table.set_writer(writer);
    context_.emit(cw_write_command{cw_table_key(service.name), table.to_json(), 0, writer});
    context_.emit(cw_read_command{cw_table_key(service.name)});
}

void cw_balancer::drain(cw_time_point now) {
    for (const auto& entry : leases_.leases()) {
        const auto& upstream = entry.first;
        const auto& lease = entry.second;
        const auto* host = context_.host(upstream);
        const bool leaving = lease.draining || (host != nullptr && host->leaving);
        const auto* stored = context_.table(lease.service);
        if (!leaving || stored == nullptr || mover_.is_moving(upstream) ||
            !stored->table.owns_slices(upstream) || !leases_.is_responsible(upstream, now) ||
            !leases_.is_healthy(upstream, now)) {
            continue;
        }
        auto targets = candidates(lease.service, now);
        std::erase_if(targets, [&](const auto& place) { return place.id == upstream; });
        const std::array<std::string, 1> lost{upstream};
        mover_.start(upstream,
                     cw_planner::replace(stored->table, loads(lease.service), lost, targets), now);
    }
}

void cw_balancer::balance(const cw_service_config& service, cw_time_point now) {
    auto& next = next_balance_[service.name];
    if (now < next || !mover_.is_idle(service.name)) {
        return;
    }
    const auto& table = context_.table(service.name)->table;
    const auto moves =
        cw_planner::balance(table, loads(service.name), candidates(service.name, now),
                            {service.imbalance_bound, service.churn_budget});
    // Only the keeper that renews the busiest upstream acts, so plans of several domains do not add
    // up.
    if (moves.empty() || !leases_.is_responsible(moves.front().from, now)) {
        return;
    }
    next = now + service.hold_down;
    mover_.start(moves.front().from, moves, now);
}

std::vector<std::string> cw_balancer::unfit_upstreams() const {
    std::vector<std::string> unfit;
    for (const auto& [upstream, lease] : leases_.leases()) {
        if (lease.silent_since || lease.draining) {
            unfit.push_back(upstream);
        }
    }
    return unfit;
}

void cw_balancer::share_load() {
    const auto* own = context_.config()->domain(context_.domain());
    if (own == nullptr) {
        return;
    }
    for (const auto& domain : context_.config()->domains) {
        const auto hosts = context_.entry_hosts(domain.name);
        if (domain.firm != own->firm) {
            continue;
        }
        // Each keeper plans moves for the upstreams it renews, so all of them need the whole load.
        for (const auto& host : hosts) {
            if (host == context_.self().host) {
                continue;
            }
            for (const auto& service : context_.config()->services) {
                if (service.keyed && service.firm == own->firm) {
                    const auto& known = loads_[service.name][context_.self().host];
                    context_.send(host,
                                  cw_load_message{service.name, busiest(known), shared_unfit_});
                }
            }
        }
    }
}
