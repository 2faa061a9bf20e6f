#include "cw_balancer.h"

#include "cw_keeper_context.h"
#include "cw_lease_keeper.h"
#include "cw_membership.h"
#include "cw_mover.h"
#include "cw_store_key.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace {

using namespace std::chrono_literals;

/// Interval between two load reports of one keeper to one domain.
constexpr auto share_interval = 5s;
/// Silence of all keepers of another domain after which its upstreams receive nothing.
constexpr auto domain_silence = 3 * share_interval;
constexpr auto plan_interval = 250ms;
/// Silence of the own host's router, which reports once a second, after which its load is dropped.
constexpr auto router_silence = 5s;
/// Weight of the latest second in the smoothed load; chance must not look like imbalance.
constexpr double smoothing = 0.1;
/// Weight of the latest second once it differs from the smoothed load by more than chance explains.
constexpr double changed_smoothing = 0.5;
/// Smoothed rates below this, in requests per second, are forgotten.
constexpr double least_rate = 0.01;
/// Hot keys in one report.
constexpr std::size_t most_reported_keys = 12;
constexpr double quarters = 4.0;
/// Eras by whose slices a late report can still be read.
constexpr std::size_t most_eras = 4;
/// Seconds of traffic that a smoothed rate stands for.
constexpr double smoothed_seconds = (2.0 - smoothing) / smoothing;
/// Requests per upstream within that time below which the traffic says nothing of its balance.
constexpr double least_requests = 100.0;
/// Standard deviations of the counts that are put down to chance.
constexpr double chance_deviations = 3.0;

cw_position_rates highest(const cw_position_rates& rates, std::size_t most) {
    std::vector<std::pair<double, std::uint64_t>> order;
    for (const auto& [position, rate] : rates) {
        if (rate > 0.0) {
            order.emplace_back(rate, position);
        }
    }
    std::sort(order.rbegin(), order.rend());
    order.resize(std::min(order.size(), most));
    cw_position_rates result;
    for (const auto& [rate, position] : order) {
        result[position] = rate;
    }
    return result;
}

/// Weight of the latest second's count beside a smoothed rate.
double weight_of(double latest, double rate) {
    // A count of requests that come independently deviates by the square root of its mean; the one
    // more request keeps a first request from counting as a change.
    const auto chance = chance_deviations * std::sqrt(rate + 1.0);
    return std::abs(latest - rate) > chance ? changed_smoothing : smoothing;
}

/// Moves the known rates, in requests per second, towards what was seen in the latest second.
void smooth(cw_position_rates& known, const cw_position_rates& seen) {
    for (const auto& [position, rate] : seen) {
        known.try_emplace(position, 0.0);
    }
    for (auto& [position, rate] : known) {
        const auto found = seen.find(position);
        const auto latest = found == seen.end() ? 0.0 : found->second;
        rate += weight_of(latest, rate) * (latest - rate);
    }
    std::erase_if(known, [](const auto& entry) { return entry.second < least_rate; });
}

/// Rates by the slices that hold their positions now.
cw_position_rates by_slice(const cw_slice_table& table, const cw_position_rates& rates) {
    cw_position_rates result;
    for (const auto& [position, rate] : rates) {
        result[table.slice_of(position).first] += rate;
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

void cw_balancer::on_router_load(const cw_router_load_event& event, cw_time_point now) {
    load_heard_[context_.self().host] = now;
    auto& known = loads_[event.service][context_.self().host];
    auto slices = event.load.slices;
    if (const auto* stored = context_.table(event.service); stored != nullptr) {
        // The router may have counted by a table that was replaced meanwhile.
        slices = by_slice(stored->table, slices);
    }
    smooth(known.slices, slices);
    smooth(known.keys, event.load.keys);
}

void cw_balancer::on_peer_load(const cw_ring_member& from, const cw_load_message& report,
                               cw_time_point now) {
    load_heard_[from.host] = now;
    if (auto load = restated(report)) {
        loads_[report.service][from.host] = std::move(*load);
    }
    unreachable_[from.host] = {report.unreachable.begin(), report.unreachable.end()};
    if (const auto* host = context_.host(from.host); host != nullptr) {
        domain_heard_[host->domain] = now;
    }
}

std::optional<cw_service_load> cw_balancer::restated(const cw_load_message& report) const {
    const auto* stored = context_.table(report.service);
    const auto eras = eras_.find(report.service);
    if (stored == nullptr || eras == eras_.end() || report.table_epoch > stored->table.epoch()) {
        return std::nullopt;
    }
    const auto& known = eras->second;
    const auto found = std::find_if(known.rbegin(), known.rend(), [&](const era& candidate) {
        return candidate.first_epoch <= report.table_epoch;
    });
    if (found == known.rend() || found->table.slices().size() != report.slice_quarters.size()) {
        return std::nullopt;
    }
    cw_service_load load;
    load.keys = report.keys;
    for (std::size_t i = 0; i < report.slice_quarters.size(); ++i) {
        if (report.slice_quarters[i] > 0) {
            load.slices[found->table.slices()[i].first] =
                static_cast<double>(report.slice_quarters[i]) / quarters;
        }
    }
    return found == known.rbegin() ? load : cw_planner::rekeyed(load, found->table, stored->table);
}

cw_load_message cw_balancer::report_on(const std::string& service) const {
    cw_load_message report;
    report.service = service;
    report.unreachable = shared_unfit_;
    const auto* stored = context_.table(service);
    const auto loads = loads_.find(service);
    if (stored == nullptr || loads == loads_.end()) {
        return report;
    }
    const auto own = loads->second.find(context_.self().host);
    if (own == loads->second.end()) {
        return report;
    }
    report.table_epoch = stored->table.epoch();
    report.keys = highest(own->second.keys, most_reported_keys);
    for (const auto& slice : stored->table.slices()) {
        const auto rate = own->second.slices.find(slice.first);
        report.slice_quarters.push_back(
            rate == own->second.slices.end()
                ? 0
                : static_cast<std::uint32_t>(std::lround(rate->second * quarters)));
    }
    return report;
}

void cw_balancer::on_table(const cw_slice_table& table, cw_time_point now) {
    note_domains(table, now);
    auto& eras = eras_[table.service()];
    if (!eras.empty() && eras.back().table.slices() == table.slices()) {
        return;
    }
    count_moves(eras.empty() ? nullptr : &eras.back().table, table, now);
    begin_era(eras, table);
}

void cw_balancer::begin_era(std::deque<era>& eras, const cw_slice_table& table) {
    if (!eras.empty()) {
        for (auto& [host, load] : loads_[table.service()]) {
            load = cw_planner::rekeyed(load, eras.back().table, table);
        }
    }
    eras.push_back({table.epoch(), table});
    if (eras.size() > most_eras) {
        eras.pop_front();
    }
}

void cw_balancer::note_domains(const cw_slice_table& table, cw_time_point now) {
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
}

void cw_balancer::count_moves(const cw_slice_table* previous, const cw_slice_table& table,
                              cw_time_point now) {
    const auto* config = context_.service_config(table.service());
    if (config == nullptr) {
        return;
    }
    std::size_t moved = previous == nullptr ? config->churn_budget : 0;
    if (previous != nullptr) {
        const auto& slices = table.slices();
        moved = static_cast<std::size_t>(
            std::count_if(slices.begin(), slices.end(), [&](const cw_slice& slice) {
                return previous->slice_of(slice.first).owner != slice.owner ||
                       previous->slice_of(slice.last).owner != slice.owner;
            }));
    }
    if (moved == 0) {
        return;
    }
    auto& window = windows_[table.service()];
    if (now >= window.end) {
        window = {now + config->hold_down, 0};
    }
    window.moved += moved;
}

void cw_balancer::forget_silent(cw_time_point now) {
    for (const auto& [host, heard] : load_heard_) {
        const bool own = host == context_.self().host;
        if (now >= heard + (own ? router_silence : domain_silence)) {
            for (auto& [service, hosts] : loads_) {
                hosts.erase(host);
            }
        }
    }
}

cw_service_load cw_balancer::load(const std::string& service) const {
    cw_service_load sum;
    const auto found = loads_.find(service);
    if (found == loads_.end()) {
        return sum;
    }
    for (const auto& [host, load] : found->second) {
        if (context_.host(host) != nullptr) {
            sum.add(load);
        }
    }
    return sum;
}

bool cw_balancer::may_receive(const cw_upstream_location& place, const std::string& service,
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
        const bool fit = found != leases_.leases().end() && !found->second.unresponsive_since &&
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

std::vector<cw_upstream_location> cw_balancer::candidates(const std::string& service,
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
    forget_silent(now);
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
    if (places.empty() || now < next || !membership_.is_first_alive(now)) {
        return;
    }
    next = now + context_.timings().store_retry_interval;
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
                     cw_planner::replace(stored->table, load(lease.service), lost, targets), now);
    }
}

std::vector<cw_slice_move> cw_balancer::plan(const cw_service_config& service,
                                             std::size_t most_moves, cw_time_point now) const {
    const auto& table = context_.table(service.name)->table;
    const auto places = candidates(service.name, now);
    if (places.size() < 2) {
        return {};
    }
    const auto seen = load(service.name);
    const auto mean = seen.total() / static_cast<double>(places.size());
    cw_plan_limits limits{service.imbalance_bound, most_moves, 0.0};
    if (mean * smoothed_seconds < least_requests) {
        // Only upstreams with next to nothing are filled, by the slices' widths.
        limits.imbalance_bound = std::numeric_limits<double>::infinity();
        return cw_planner::balance(table, {}, places, limits);
    }
    limits.least_excess = chance_deviations * std::sqrt(mean / smoothed_seconds);
    auto moves = cw_planner::balance(table, seen, places, limits);
    return moves.empty() ? cw_planner::tidy(table, seen, places, most_moves) : moves;
}

void cw_balancer::balance(const cw_service_config& service, cw_time_point now) {
    auto& next = next_balance_[service.name];
    const auto& window = windows_[service.name];
    const std::size_t moved = now < window.end ? window.moved : 0;
    if (now < next || moved >= service.churn_budget || !mover_.is_idle(service.name)) {
        return;
    }
    const auto moves = plan(service, service.churn_budget - moved, now);
    // Only the keeper that renews the busiest upstream acts, so plans of several domains do not add
    // up.
    if (moves.empty() || !leases_.is_responsible(moves.front().from, now)) {
        return;
    }
    if (mover_.start(moves.front().from, moves, now)) {
        next = now + share_interval;
    }
}

std::vector<std::string> cw_balancer::unfit_upstreams() const {
    std::vector<std::string> unfit;
    for (const auto& [upstream, lease] : leases_.leases()) {
        if (lease.unresponsive_since || lease.draining) {
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
    for (const auto& service : context_.config()->services) {
        if (!service.keyed || service.firm != own->firm) {
            continue;
        }
        // Each keeper plans moves for the upstreams it renews, so all of them need the whole load.
        context_.send_to_firm(report_on(service.name));
    }
}
