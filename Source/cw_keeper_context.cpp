#include "cw_keeper_context.h"

#include <algorithm>
#include <utility>

const cw_stored_table* cw_keeper_context::table(const std::string& service) const {
    const auto found = tables_.find(service);
    return found == tables_.end() ? nullptr : &found->second;
}

const cw_host* cw_keeper_context::host(const std::string& id) const {
    const auto found = hosts_.find(id);
    return found == hosts_.end() ? nullptr : &found->second;
}

bool cw_keeper_context::is_host_gone(const std::string& id, cw_time_point now) const {
    const auto found = missing_since_.find(id);
    return found != missing_since_.end() && now >= found->second + timings_.host_absence_timeout;
}

std::vector<std::string> cw_keeper_context::entry_hosts(const std::string& domain) const {
    std::vector<std::string> ids;
    for (const auto& [id, host] : hosts_) {
        if (host.kind == cw_host_kind::entry && host.domain == domain) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<cw_upstream_location>
cw_keeper_context::live_upstreams(const std::string& service) const {
    std::vector<cw_upstream_location> locations;
    for (const auto& [id, host] : hosts_) {
        if (host.kind == cw_host_kind::upstream && host.service == service && !host.leaving) {
            locations.push_back({id, host.domain, host.address});
        }
    }
    return locations;
}

const cw_service_config* cw_keeper_context::service_config(const std::string& service) const {
    return config_ == nullptr ? nullptr : config_->service(service);
}

void cw_keeper_context::set_hosts(const std::vector<cw_host>& hosts, cw_time_point now) {
    std::map<std::string, cw_host> next;
    for (const auto& host : hosts) {
        next.emplace(host.id, host);
    }
    for (const auto& [id, host] : hosts_) {
        if (!next.contains(id)) {
            missing_since_.try_emplace(id, now);
        }
    }
    for (const auto& [id, host] : next) {
        missing_since_.erase(id);
    }
    hosts_ = std::move(next);
}

bool cw_keeper_context::set_table(const cw_table_event& event) {
    const auto known = tables_.find(event.table.service());
    const bool is_known = known != tables_.end();
    std::uint64_t read_epoch = is_known ? known->second.read_epoch : 0;
    if (!event.from_peer) {
        read_epoch = std::max(read_epoch, event.table.epoch());
    }
    if (is_known && known->second.store_version >= event.store_version) {
        known->second.read_epoch = read_epoch;
        return false;
    }
    tables_.insert_or_assign(event.table.service(),
                             cw_stored_table{event.table, event.store_version, read_epoch});
    return true;
}

std::string cw_keeper_context::next_writer() {
    return self_.host + "." + std::to_string(self_.incarnation) + "." + std::to_string(next_id());
}

void cw_keeper_context::record_event(std::string type, std::string subject, std::string detail) {
    emit(cw_timeline_event{std::move(type), std::move(subject), std::move(detail)});
}

void cw_keeper_context::send(const std::string& to, cw_peer_body body) {
    emit(cw_send_peer_command{to, std::move(body)});
}

void cw_keeper_context::send_to_firm(const cw_peer_body& body) {
    const auto* own_domain = config_ == nullptr ? nullptr : config_->domain(domain_);
    if (own_domain == nullptr) {
        return;
    }
    for (const auto& domain : config_->domains) {
        if (domain.firm != own_domain->firm) {
            continue;
        }
        for (const auto& host : entry_hosts(domain.name)) {
            if (host != self_.host) {
                send(host, body);
            }
        }
    }
}

std::vector<cw_keeper_command> cw_keeper_context::take_commands() {
    return std::exchange(commands_, {});
}
