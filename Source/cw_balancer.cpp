#include "cw_balancer.h"

#include "cw_keeper_context.h"
#include "cw_lease_keeper.h"
#include "cw_membership.h"
#include "cw_slice_mover.h"
#include "cw_store_key.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace {

using namespace std::chrono_literals;

/// Interval between two load reports of one keeper to one domain.
constexpr auto report_interval = 5s;
/// Time without a report from any keeper of another domain after which that domain's upstreams
/// receive no slices.
constexpr auto domain_timeout = 3 * report_interval;
/// Interval between two checks whether a move is needed.
constexpr auto plan_interval = 250ms;
/// Time without a report from this host's router, which reports once a second, after which its load
/// is dropped.
constexpr auto router_timeout = 5s;
/// Weight of the latest second in the smoothed load. It is low so that random variation is not
/// taken for imbalance.
constexpr double smoothing = 0.1;
/// Weight of the latest second if it differs from the smoothed load by more than random variation.
constexpr double changed_smoothing = 0.5;
/// Smoothed rates below this, in requests per second, are dropped.
constexpr double min_rate = 0.01;
/// Maximum number of hot keys in one report.
constexpr std::size_t max_reported_keys = 12;
/// Load reports state the rates of slices in quarters of a request per second.
constexpr double quarters_per_request = 4.0;
/// Number of layouts kept to interpret late reports.
constexpr std::size_t max_layouts = 4;
/// Effective averaging time of a smoothed rate, in seconds.
constexpr double smoothed_seconds = (2.0 - smoothing) / smoothing;
/// Requests per upstream within that time below which the sample is too small to judge the balance.
constexpr double min_requests = 100.0;
/// Deviations of a count up to this many standard deviations are treated as random variation.
constexpr double noise_deviations = 3.0;

cw_position_rates top_rates(const cw_position_rates& rates, std::size_t max_count) {
    std::vector<std::pair<double, std::uint64_t>> order;
    for (const auto& [position, rate] : rates) {
        if (rate > 0.0) {
            order.emplace_back(rate, position);
        }
    }
    std::sort(order.rbegin(), order.rend());
    order.resize(std::min(order.size(), max_count));
    cw_position_rates result;
    for (const auto& [rate, position] : order) {
        result[position] = rate;
    }
    return result;
}

/// Smoothing weight of the latest second's count.
double smoothing_weight(double latest, double rate) {
    // The standard deviation of a count of independent requests is the square root of its mean. One
    // is added so that a first request does not count as a change.
    const auto chance = noise_deviations * std::sqrt(rate + 1.0);
    return std::abs(latest - rate) > chance ? changed_smoothing : smoothing;
}

/// Updates the smoothed rates, in requests per second, with the counts of the latest second.
void smooth(cw_position_rates& known, const cw_position_rates& seen) {
    for (const auto& [position, rate] : seen) {
        known.try_emplace(position, 0.0);
    }
    for (auto& [position, rate] : known) {
        const auto found = seen.find(position);
        const auto latest = found == seen.end() ? 0.0 : found->second;
        rate += smoothing_weight(latest, rate) * (latest - rate);
    }
    std::erase_if(known, [](const auto& entry) { return entry.second < min_rate; });
}

/// Sums the rates by the slice of the table that contains their position.
cw_position_rates sum_by_slice(const cw_slice_table& table, const cw_position_rates& rates) {
    cw_position_rates result;
    for (const auto& [position, rate] : rates) {
        result[table.slice_of(position).first] += rate;
    }
    return result;
}

} // namespace

cw_balancer::cw_balancer(cw_keeper_context& context, cw_membership& membership,
                         cw_lease_keeper& leases, cw_slice_mover& mover)
    : context_{context},
      membership_{membership},
      leases_{leases},
      mover_{mover} {}

void cw_balancer::on_router_load(const cw_router_load_event& event, cw_time_point now) {
    load_received_at_[context_.self().host] = now;
    auto& known = loads_[event.service][context_.self().host];
    auto slices = event.load.slices;
    if (const auto* stored = context_.table(event.service); stored != nullptr) {
        // The router may have counted by the slices of a table that has been replaced since.
        slices = sum_by_slice(stored->table, slices);
    }
    smooth(known.slices, slices);
    smooth(known.keys, event.load.keys);
}

void cw_balancer::on_peer_load(const cw_ring_member& from, const cw_load_message& report,
                               cw_time_point now) {
    load_received_at_[from.host] = now;
    if (auto load = remap_report(report)) {
        loads_[report.service][from.host] = std::move(*load);
    }
    unreachable_by_host_[from.host] = {report.unreachable.begin(), report.unreachable.end()};
    if (const auto* host = context_.host(from.host); host != nullptr) {
        domain_report_at_[host->domain] = now;
    }
}

std::optional<cw_service_load> cw_balancer::remap_report(const cw_load_message& report) const {
    const auto* stored = context_.table(report.service);
    const auto layouts = layouts_.find(report.service);
    if (stored == nullptr || layouts == layouts_.end() ||
        report.table_epoch > stored->table.epoch()) {
        return std::nullopt;
    }
    const auto& known = layouts->second;
    const auto found =
        std::find_if(known.rbegin(), known.rend(), [&](const slice_layout& candidate) {
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
                static_cast<double>(report.slice_quarters[i]) / quarters_per_request;
        }
    }
    return found == known.rbegin() ? load
                                   : cw_planner::remap_load(load, found->table, stored->table);
}

cw_load_message cw_balancer::make_report(const std::string& service) const {
    cw_load_message report;
    report.service = service;
    report.unreachable = reported_unfit_;
    const auto* stored = context_.table(service);
    const auto loads = loads_.find(service);
    if (stored == nullptr || loads == loads_.end()) {
        return report;
    }
    const auto own_load = loads->second.find(context_.self().host);
    if (own_load == loads->second.end()) {
        return report;
    }
    report.table_epoch = stored->table.epoch();
    report.keys = top_rates(own_load->second.keys, max_reported_keys);
    for (const auto& slice : stored->table.slices()) {
        const auto rate = own_load->second.slices.find(slice.first);
        report.slice_quarters.push_back(
            rate == own_load->second.slices.end()
                ? 0
                : static_cast<std::uint32_t>(std::lround(rate->second * quarters_per_request)));
    }
    return report;
}

void cw_balancer::on_table(const cw_slice_table& table, cw_time_point now) {
    update_owning_domains(table, now);
    auto& layouts = layouts_[table.service()];
    if (!layouts.empty() && layouts.back().table.slices() == table.slices()) {
        return;
    }
    count_moves(layouts.empty() ? nullptr : &layouts.back().table, table, now);
    add_layout(layouts, table);
}

void cw_balancer::add_layout(std::deque<slice_layout>& layouts, const cw_slice_table& table) {
    if (!layouts.empty()) {
        for (auto& [host, load] : loads_[table.service()]) {
            load = cw_planner::remap_load(load, layouts.back().table, table);
        }
    }
    layouts.push_back({table.epoch(), table});
    if (layouts.size() > max_layouts) {
        layouts.pop_front();
    }
}

void cw_balancer::update_owning_domains(const cw_slice_table& table, cw_time_point now) {
    std::set<std::string> domains;
    for (const auto& [id, owner] : table.owners()) {
        if (table.owns_slices(id)) {
            domains.insert(owner.domain);
        }
    }
    for (const auto& domain : owning_domains_[table.service()]) {
        if (!domains.contains(domain)) {
            domain_emptied_at_[domain] = now;
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

void cw_balancer::drop_stale_loads(cw_time_point now) {
    for (const auto& [host, received_at] : load_received_at_) {
        const bool is_own_host = host == context_.self().host;
        if (now >= received_at + (is_own_host ? router_timeout : domain_timeout)) {
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

bool cw_balancer::can_receive(const cw_upstream_location& location, const std::string& service,
                              cw_time_point now) const {
    const auto* stored = context_.table(service);
    const auto* owner = stored == nullptr ? nullptr : stored->table.owner(location.id);
    if (owner != nullptr && owner->address != location.address &&
        stored->table.owns_slices(location.id)) {
        return false;
    }
    const bool reported =
        std::any_of(unreachable_by_host_.begin(), unreachable_by_host_.end(),
                    [&](const auto& entry) { return entry.second.contains(location.id); });
    if (location.domain == context_.domain()) {
        const auto found = leases_.leases().find(location.id);
        const bool fit = found != leases_.leases().end() && !found->second.unresponsive_since &&
                         !found->second.draining;
        return fit && !reported &&
               (leases_.is_healthy(location.id, now) || !leases_.is_responsible(location.id, now));
    }
    const auto received_at = domain_report_at_.find(location.domain);
    const auto last_report_at =
        received_at == domain_report_at_.end() ? started_at_ : received_at->second;
    // A domain that was taken over and has no slices left receives none until one of its keepers
    // reports again.
    const auto emptied = domain_emptied_at_.find(location.domain);
    const bool lost = emptied != domain_emptied_at_.end() && last_report_at <= emptied->second;
    return now < last_report_at + domain_timeout && !reported && !lost;
}

std::vector<cw_upstream_location> cw_balancer::candidates(const std::string& service,
                                                          cw_time_point now) const {
    auto locations = context_.live_upstreams(service);
    std::erase_if(locations,
                  [&](const auto& location) { return !can_receive(location, service, now); });
    return locations;
}

void cw_balancer::on_tick(cw_time_point now) {
    if (started_at_ == cw_time_point{}) {
        started_at_ = now;
        next_report_ = now + plan_interval;
    }
    if (context_.config() == nullptr || !membership_.is_member() || membership_.is_retired()) {
        return;
    }
    const auto unfit = unfit_upstreams();
    if (now >= next_report_ || unfit != reported_unfit_) {
        reported_unfit_ = unfit;
        next_report_ = now + report_interval;
        send_load_reports();
    }
    if (now < next_plan_) {
        return;
    }
    next_plan_ = now + plan_interval;
    drop_stale_loads(now);
    drain_leaving_upstreams(now);
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
    const auto locations = context_.live_upstreams(service.name);
    auto& next = next_create_[service.name];
    if (locations.empty() || now < next || !membership_.is_first_alive(now)) {
        return;
    }
    next = now + context_.timings().store_retry_interval;
    auto table = cw_slice_table::initial(service.name, locations, service.slices_per_upstream);
    const auto writer = context_.next_writer();
    table.set_writer(writer);
    context_.emit(cw_write_command{cw_table_key(service.name), table.to_json(), 0, writer});
    context_.emit(cw_read_command{cw_table_key(service.name)});
}

void cw_balancer::drain_leaving_upstreams(cw_time_point now) {
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
        std::erase_if(targets, [&](const auto& location) { return location.id == upstream; });
        const std::array<std::string, 1> lost{upstream};
        mover_.start_handover(
            upstream, cw_planner::reassign(stored->table, load(lease.service), lost, targets), now);
    }
}

std::vector<cw_slice_move> cw_balancer::plan_moves(const cw_service_config& service,
                                                   std::size_t max_moves, cw_time_point now) const {
    const auto& table = context_.table(service.name)->table;
    const auto locations = candidates(service.name, now);
    if (locations.size() < 2) {
        return {};
    }
    const auto current_load = load(service.name);
    const auto mean = current_load.total() / static_cast<double>(locations.size());
    cw_plan_limits limits{service.imbalance_bound, max_moves, 0.0};
    if (mean * smoothed_seconds < min_requests) {
        // Only underloaded upstreams receive slices, weighed by width alone.
        limits.imbalance_bound = std::numeric_limits<double>::infinity();
        return cw_planner::balance(table, {}, locations, limits);
    }
    limits.min_excess = noise_deviations * std::sqrt(mean / smoothed_seconds);
    auto moves = cw_planner::balance(table, current_load, locations, limits);
    return moves.empty() ? cw_planner::consolidate(table, current_load, locations, max_moves)
                         : moves;
}

void cw_balancer::balance(const cw_service_config& service, cw_time_point now) {
    auto& next = next_balance_[service.name];
    const auto& window = windows_[service.name];
    const std::size_t moved = now < window.end ? window.moved : 0;
    if (now < next || moved >= service.churn_budget || !mover_.is_idle(service.name)) {
        return;
    }
    const auto moves = plan_moves(service, service.churn_budget - moved, now);
    // Only the keeper that renews the leases of the busiest upstream acts, so that the plans of
    // several domains do not add up.
    if (moves.empty() || !leases_.is_responsible(moves.front().from, now)) {
        return;
    }
    if (mover_.start_handover(moves.front().from, moves, now)) {
        next = now + report_interval;
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

void cw_balancer::send_load_reports() {
    const auto* own_domain = context_.config()->domain(context_.domain());
    if (own_domain == nullptr) {
        return;
    }
    for (const auto& service : context_.config()->services) {
        if (!service.keyed || service.firm != own_domain->firm) {
            continue;
        }
        // Each keeper plans moves for the upstreams whose leases it renews, so it needs the full
        // load.
        context_.send_to_firm(make_report(service.name));
    }
}
