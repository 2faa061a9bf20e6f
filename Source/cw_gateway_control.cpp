#include "cw_gateway_control.h"

#include <algorithm>
#include <utility>

namespace {
using namespace std::chrono_literals;
/// Time without a report after which a host no longer counts as one that shares the retry budget.
constexpr auto host_report_timeout = 2s;
/// Service name for the key table of a deployment without keyed services.
constexpr const char* keyless_service = "no-keyed-service";
} // namespace

cw_gateway_control::cw_gateway_control(cw_steward_id self, cw_host_info host_info,
                                       cw_steward_options options,
                                       std::chrono::milliseconds recovery_time, std::uint64_t seed,
                                       std::chrono::milliseconds evacuation_bound)
    : self_{std::move(self)},
      host_info_{std::move(host_info)},
      options_{options},
      random_seed_{seed},
      directory_{recovery_time},
      evacuations_{evacuation_bound} {}

cw_control_output cw_gateway_control::decide(const cw_control_event& event, cw_boot_time now) {
    std::visit([&](const auto& input) { handle(input, now); }, event);
    cw_control_output output;
    for (auto& [service, steward] : stewards_) {
        for (auto& item : steward->take_events()) {
            events_.push_back(std::move(item));
        }
        output.stewards.emplace(service, steward->table().steward);
        const bool is_requesting = steward->requests_successor(now);
        view_outdated_ = view_outdated_ || is_requesting != requesting_successor_.contains(service);
        if (is_requesting) {
            requesting_successor_.insert(service);
        } else {
            requesting_successor_.erase(service);
        }
    }
    for (auto& item : evacuations_.take_events()) {
        events_.push_back(std::move(item));
    }
    if (view_outdated_ || tables_changed()) {
        view_ = make_view();
        output.view = view_;
        view_outdated_ = false;
    }
    output.crash_collecting_service = stewards_.empty() ? "" : stewards_.begin()->first;
    output.leaving_notices = std::exchange(unsent_leaving_notices_, {});
    output.readers = readers_;
    output.crashes = std::exchange(unsent_crashes_, {});
    output.commands = std::exchange(commands_, {});
    output.events = std::exchange(events_, {});
    return output;
}

void cw_gateway_control::record_event(std::string type, std::string subject, std::string detail) {
    events_.push_back({std::move(type), std::move(subject), std::move(detail)});
}

cw_steward* cw_gateway_control::find_steward(const std::string& service) {
    const auto found = stewards_.find(service);
    return found == stewards_.end() ? nullptr : found->second.get();
}

void cw_gateway_control::handle(const cw_clock_tick& /*event*/, cw_boot_time now) {
    tick_gap_ = last_tick_ == cw_boot_time{}
                    ? std::chrono::milliseconds{0}
                    : std::chrono::duration_cast<std::chrono::milliseconds>(now - last_tick_);
    last_tick_ = now;
    publish_upstreams(directory_.on_tick(now), now);
    evacuations_.on_tick(now);
    if (evacuations_.has_unknown_name()) {
        publish_upstreams(evacuations_.on_domains(known_domains()), now);
    }
    for (auto& [service, steward] : stewards_) {
        steward->on_tick(now, commands_);
    }
    update_host_count(now);
}

void cw_gateway_control::handle(const cw_config_received& event, cw_boot_time now) {
    if (config_ != nullptr && event.config->version() <= config_->version()) {
        return;
    }
    record_event("configuration in force", "version " + std::to_string(event.config->version()),
                 config_ == nullptr ? "the first" : "after " + std::to_string(config_->version()));
    config_ = event.config;
    view_outdated_ = true;
    if (!evacuations_.is_empty()) {
        // Whether an upstream in an evacuated domain is listed depends on whether its service has
        // keys.
        upstream_lists_ = nullptr;
    }
    for (const auto& [name, service] : config_->services()) {
        if (service.keyed) {
            add_steward(name, now);
        }
    }
    // Hosts are counted by their reports to a steward, so one is needed even without keyed
    // services.
    if (stewards_.empty()) {
        add_steward(keyless_service, now);
    }
    for (auto& [name, steward] : stewards_) {
        const auto service = config_->services().find(name);
        if (service != config_->services().end()) {
            steward->set_cold_limit(service->second.cold_rate > 0.0);
            steward->set_longest_target(service->second.longest_target);
        } else {
            steward->set_cold_limit(false);
        }
    }
}

void cw_gateway_control::add_steward(const std::string& service, cw_boot_time now) {
    if (stewards_.contains(service)) {
        return;
    }
    auto steward =
        std::make_unique<cw_steward>(service, self_, options_, random_seed_ + stewards_.size());
    steward->on_upstreams(steward_entries(), now);
    steward->set_reader(is_reader());
    steward->on_store_era(store_era_.number(), store_era_.seen_at());
    stewards_.emplace(service, std::move(steward));
}

void cw_gateway_control::handle(const cw_evacuations_received& event, cw_boot_time now) {
    bool changed = evacuations_.on_domains(known_domains());
    changed = evacuations_.on_names(event.names, event.position, event.lag, now) || changed;
    publish_upstreams(changed, now);
}

std::set<std::string> cw_gateway_control::known_domains() const {
    std::set<std::string> domains{host_info_.domain};
    for (const auto& [host, info] : host_infos_) {
        domains.insert(info.domain);
    }
    for (const auto& [id, entry] : directory_.entries()) {
        domains.insert(entry.domain);
    }
    return domains;
}

std::map<std::string, cw_upstream_entry> cw_gateway_control::steward_entries() const {
    auto entries = directory_.entries();
    for (auto& [id, entry] : entries) {
        entry.leaving = entry.leaving || evacuations_.is_evacuated(entry.domain);
    }
    return entries;
}

bool cw_gateway_control::is_keyed(const std::string& service) const {
    if (config_ == nullptr) {
        return false;
    }
    const auto found = config_->services().find(service);
    return found != config_->services().end() && found->second.keyed;
}

std::set<std::string, std::less<>> cw_gateway_control::services_without_upstreams() const {
    std::set<std::string, std::less<>> services;
    if (evacuations_.is_empty()) {
        return services;
    }
    std::set<std::string> others;
    for (const auto& [id, entry] : directory_.entries()) {
        if (!entry.leaving && evacuations_.is_evacuated(entry.domain)) {
            services.insert(entry.service);
        } else if (!entry.leaving) {
            others.insert(entry.service);
        }
    }
    std::erase_if(services, [&](const auto& service) { return others.contains(service); });
    return services;
}

void cw_gateway_control::handle(const cw_upstreams_listed& event, cw_boot_time now) {
    store_unreachable_ = false;
    publish_upstreams(directory_.on_list(event.entries, now), now);
}

void cw_gateway_control::handle(const cw_upstreams_changed& event, cw_boot_time now) {
    if (std::exchange(store_unreachable_, false)) {
        record_event("store answers again", self_.host, "");
    }
    bool changed = false;
    for (const auto& entry : event.written) {
        changed = directory_.on_entry(entry) || changed;
    }
    for (const auto& id : event.removed) {
        changed = directory_.on_removed(id, now) || changed;
    }
    publish_upstreams(changed, now);
}

void cw_gateway_control::publish_upstreams(bool changed, cw_boot_time now) {
    if (!changed) {
        return;
    }
    view_outdated_ = true;
    upstream_lists_ = nullptr;
    if (evacuations_.has_unknown_name()) {
        evacuations_.on_domains(known_domains());
    }
    const auto evacuated =
        evacuations_.is_empty() ? std::map<std::string, cw_upstream_entry>{} : steward_entries();
    const auto& entries = evacuations_.is_empty() ? directory_.entries() : evacuated;
    for (auto& [service, steward] : stewards_) {
        steward->on_upstreams(entries, now);
        steward->on_tick(now, commands_);
    }
}

void cw_gateway_control::handle(const cw_store_failed& event, cw_boot_time now) {
    if (!std::exchange(store_unreachable_, true)) {
        record_event("store does not answer", self_.host, event.reason);
    }
    if (event.can_entries_have_expired) {
        directory_.defer_removals(now);
    }
}

void cw_gateway_control::handle(const cw_store_restored& event, cw_boot_time now) {
    record_event("store came back from an older copy", self_.host,
                 "era " + std::to_string(event.era));
    directory_.defer_removals(now);
    store_era_.on_named(event.era, now);
    for (auto& [service, steward] : stewards_) {
        steward->on_store_era(event.era, now);
        steward->on_tick(now, commands_);
    }
}

void cw_gateway_control::handle(const cw_ownership_event& event, cw_boot_time now) {
    auto* steward = find_steward(event.service);
    if (steward == nullptr) {
        return;
    }
    if (const auto* command = std::get_if<cw_ownership_command_ended>(&event.payload)) {
        steward->on_command_ended(*command, now, commands_);
    } else if (const auto* table = std::get_if<cw_table_answer>(&event.payload)) {
        store_era_.on_named(table->era, now);
        steward->on_table_answer(*table, now, commands_);
    } else if (const auto* heartbeat = std::get_if<cw_heartbeat_answer>(&event.payload)) {
        store_era_.on_named(heartbeat->era, now);
        steward->on_heartbeat_answer(*heartbeat, now);
    } else if (const auto* report_result = std::get_if<cw_report_result>(&event.payload)) {
        steward->on_report_result(*report_result, now);
    } else if (const auto* ack = std::get_if<cw_succession_ack>(&event.payload)) {
        steward->on_succession_ack(*ack, now);
    }
}

void cw_gateway_control::handle(const cw_steward_answer& event, cw_boot_time now) {
    if (auto* steward = find_steward(event.service)) {
        steward->on_peer_table(event.table, now);
        // If the store does not answer this host either, this host could not write the table as
        // steward.
        const bool is_successor_wanted = event.requests_successor && !store_unreachable_;
        steward->on_report_result(is_successor_wanted ? cw_report_result::requests_successor
                                                      : cw_report_result::answered,
                                  now);
        if (!steward->is_steward() && host_count_ != event.hosts) {
            host_count_ = event.hosts;
            view_outdated_ = true;
        }
        set_readers(event.readers);
        if (event.crashes && *event.crashes != received_crash_counts_) {
            received_crash_counts_ = *event.crashes;
            crash_counts_ = nullptr;
            view_outdated_ = true;
        }
    }
}

void cw_gateway_control::handle(const cw_table_received& event, cw_boot_time now) {
    if (auto* steward = find_steward(event.service)) {
        steward->on_peer_table(event.table, now);
        // The table may show that its steward has resigned; this host may then claim it at once.
        steward->on_tick(now, commands_);
    }
}

void cw_gateway_control::handle(const cw_succession& event, cw_boot_time now) {
    if (auto* steward = find_steward(event.service)) {
        steward->on_succession(event.table, now);
    }
}

void cw_gateway_control::handle(const cw_host_report& event, cw_boot_time now) {
    last_reports_[event.host] = now;
    auto& info = host_infos_[event.host];
    if (info != event.host_info) {
        reader_chooser_.on_hosts_changed();
    }
    info = event.host_info;
    for (auto& [service, steward] : stewards_) {
        steward->on_host_process(event.host, event.incarnation, now);
    }
    if (auto* steward = find_steward(event.service)) {
        steward->on_load(event.counts, now);
        steward->on_speeds(event.speeds);
    }
    for (const auto& crash : event.crashes) {
        apply_crash_report(crash, now);
    }
    for (const auto& leaving : event.leaving) {
        apply_leaving(leaving, "reported by " + event.host, now);
    }
}

bool cw_gateway_control::is_crash_collector() const {
    return !stewards_.empty() && stewards_.begin()->second->is_steward();
}

bool cw_gateway_control::apply_crash_report(const cw_crash_report& crash, cw_boot_time now) {
    if (!is_crash_collector()) {
        return false;
    }
    const bool is_new = crash.answered
                            ? crash_tracker_.on_answer(crash.fingerprint)
                            : crash_tracker_.on_crash(crash.fingerprint, crash.address,
                                                      cw_time_point{now.time_since_epoch()});
    if (is_new) {
        view_outdated_ = true;
        crash_counts_ = nullptr;
        record_event(crash.answered ? "request cleared" : "request crashed an upstream",
                     std::to_string(crash.fingerprint),
                     crash.address + " crashes " +
                         std::to_string(crash_tracker_.crash_count(crash.fingerprint)));
    }
    return true;
}

void cw_gateway_control::handle(const cw_crash_report& event, cw_boot_time now) {
    if (!apply_crash_report(event, now)) {
        unsent_crashes_.push_back(event);
    }
}

void cw_gateway_control::handle(const cw_leaving_notice& event, cw_boot_time now) {
    if (apply_leaving(event, event.service, now)) {
        unsent_leaving_notices_.push_back(event);
    }
}

bool cw_gateway_control::apply_leaving(const cw_leaving_notice& leaving, std::string detail,
                                       cw_boot_time now) {
    const bool is_new = directory_.on_leaving(leaving.id, leaving.incarnation);
    if (is_new) {
        record_event("upstream says it leaves", leaving.id, std::move(detail));
        publish_upstreams(true, now);
    }
    return is_new;
}

void cw_gateway_control::handle(const cw_ownership_limits& event, cw_boot_time /*now*/) {
    options_.tenure = std::max(options_.tenure, event.tenure);
    for (auto& [service, steward] : stewards_) {
        steward->set_tenure(event.tenure);
    }
}

void cw_gateway_control::handle(const cw_local_load& event, cw_boot_time now) {
    if (auto* steward = find_steward(event.service)) {
        steward->on_load(event.counts, now);
        steward->on_speeds(event.speeds);
    }
}

void cw_gateway_control::handle(const cw_stop_requested& /*event*/, cw_boot_time now) {
    stopping_ = true;
    view_outdated_ = true;
    for (auto& [service, steward] : stewards_) {
        steward->on_stop(now, commands_);
    }
}

void cw_gateway_control::update_host_count(cw_boot_time now) {
    std::erase_if(last_reports_,
                  [now](const auto& host) { return now > host.second + host_report_timeout; });
    const auto removed_infos = std::erase_if(
        host_infos_, [&](const auto& info) { return !last_reports_.contains(info.first); });
    if (removed_infos != 0) {
        reader_chooser_.on_hosts_changed();
    }
    choose_readers(now);
    const bool is_steward_of_any =
        std::any_of(stewards_.begin(), stewards_.end(),
                    [](const auto& item) { return item.second->is_steward(); });
    const auto count = static_cast<std::uint32_t>(last_reports_.size()) + 1;
    if (is_steward_of_any && count != host_count_) {
        host_count_ = count;
        view_outdated_ = true;
    }
}

bool cw_gateway_control::is_reader() const {
    // Until readers are chosen, any host may have to read the store.
    return readers_.empty() ||
           std::find(readers_.begin(), readers_.end(), host_info_.address) != readers_.end();
}

void cw_gateway_control::choose_readers(cw_boot_time now) {
    if (!is_crash_collector()) {
        view_outdated_ = reader_chooser_.stop() || view_outdated_;
        return;
    }
    if (!reader_chooser_.is_due(now)) {
        return;
    }
    auto hosts = host_infos_;
    hosts[self_.host] = host_info_;
    hosts[self_.host].is_store_suspected = store_unreachable_;
    const auto before = reader_chooser_.readers();
    if (!reader_chooser_.choose(hosts, now)) {
        return;
    }
    view_outdated_ = true;
    const auto& readers = reader_chooser_.readers();
    for (const auto& [domain, ranking] : readers) {
        const auto known = before.find(domain);
        if (known == before.end() || known->second != ranking) {
            record_event("readers named", domain,
                         ranking.front() + " of " + std::to_string(hosts.size()) +
                             " hosts, ticks " + std::to_string(tick_gap_.count()) + " ms apart");
        }
    }
    if (const auto own = readers.find(host_info_.domain); own != readers.end()) {
        set_readers(own->second);
    }
}

void cw_gateway_control::set_readers(const std::vector<std::string>& readers) {
    if (readers.empty() || readers == readers_) {
        return;
    }
    readers_ = readers;
    for (auto& [service, steward] : stewards_) {
        steward->set_reader(is_reader());
    }
}

bool cw_gateway_control::table_changed(const std::string& service,
                                       const cw_steward& steward) const {
    if (view_ == nullptr) {
        return true;
    }
    const auto& table = steward.table();
    const auto known = view_->tables.find(service);
    return known == view_->tables.end() || known->second->term != table.term ||
           known->second->edition != table.edition;
}

bool cw_gateway_control::tables_changed() const {
    return std::any_of(stewards_.begin(), stewards_.end(),
                       [&](const auto& item) { return table_changed(item.first, *item.second); });
}

std::shared_ptr<const cw_key_table>
cw_gateway_control::current_table(const std::string& service, const cw_steward& steward) const {
    return table_changed(service, steward) ? std::make_shared<const cw_key_table>(steward.table())
                                           : view_->tables.at(service);
}

std::shared_ptr<const cw_upstream_lists> cw_gateway_control::make_upstream_lists() const {
    auto lists = std::make_shared<cw_upstream_lists>();
    for (const auto& [id, entry] : directory_.entries()) {
        const bool is_withheld =
            evacuations_.is_evacuated(entry.domain) && !is_keyed(entry.service);
        if (!entry.leaving && !is_withheld) {
            (*lists)[entry.service].push_back(entry);
        }
    }
    return lists;
}

std::shared_ptr<const cw_crash_counts> cw_gateway_control::current_crash_counts() {
    const bool is_collected = is_crash_collector();
    if (crash_counts_ == nullptr || is_collected != are_counts_collected_here_) {
        are_counts_collected_here_ = is_collected;
        crash_counts_ = std::make_shared<const cw_crash_counts>(
            is_collected ? crash_tracker_.counts() : received_crash_counts_);
    }
    return crash_counts_;
}

std::shared_ptr<const cw_gateway_view> cw_gateway_control::make_view() {
    auto view = std::make_shared<cw_gateway_view>();
    view->config = config_;
    view->hosts = host_count_;
    view->stopping = stopping_;
    view->requesting_successor = requesting_successor_;
    view->readers = reader_chooser_.readers();
    view->crashes = current_crash_counts();
    if (upstream_lists_ == nullptr) {
        upstream_lists_ = make_upstream_lists();
        services_without_upstreams_ = services_without_upstreams();
    }
    view->upstreams = upstream_lists_;
    view->evacuations = evacuations_.view();
    view->evacuations.services_without_upstreams = services_without_upstreams_;
    for (const auto& [service, steward] : stewards_) {
        view->tables.emplace(service, current_table(service, *steward));
        view->ended_stewardships.emplace(service, steward->ended_stewardship());
    }
    return view;
}
