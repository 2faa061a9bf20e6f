#include "cw_keeper_core.h"

#include "cw_store_key.h"

cw_keeper_core::cw_keeper_core(cw_ring_member self, std::string domain, cw_timings timings)
    : context_{std::move(self), std::move(domain), timings},
      membership_{context_},
      leases_{context_, membership_},
      mover_{context_, membership_, leases_},
      balancer_{context_, membership_, leases_, mover_},
      upstream_failover_{context_, membership_, leases_, balancer_},
      domain_failover_{context_, membership_, balancer_},
      crashes_{context_},
      table_distributor_{context_},
      config_distributor_{context_.self().host, {}, context_.self().incarnation} {}

std::vector<cw_keeper_command> cw_keeper_core::decide(const cw_keeper_event& event,
                                                      cw_time_point now) {
    std::visit([&](const auto& body) { handle(body, now); }, event);
    execute_distributor_commands();
    return context_.take_commands();
}

std::vector<std::string> cw_keeper_core::watched_keys() const {
    std::vector<std::string> keys{cw_ring_key(context_.domain())};
    if (context_.config() == nullptr || config_distributor_.watches_store()) {
        keys.emplace_back(cw_config_head_key);
    }
    for (const auto& domain_name : domain_failover_.protected_domains()) {
        keys.push_back(cw_ring_key(domain_name));
    }
    if (context_.config() != nullptr) {
        const auto* domain = context_.config()->domain(context_.domain());
        for (const auto& service : context_.config()->services) {
            if (service.keyed && domain != nullptr && service.firm == domain->firm) {
                keys.push_back(cw_table_key(service.name));
            }
        }
    }
    return keys;
}

void cw_keeper_core::handle(const cw_tick_event& /*event*/, cw_time_point now) {
    membership_.on_tick(now);
    config_distributor_.on_tick(now);
    table_distributor_.on_tick(now);
    crashes_.on_tick(now);
    if (stopping_) {
        if (!stopped_ && (now >= stop_deadline_ || !membership_.is_member())) {
            stopped_ = true;
            context_.emit(cw_stopped_command{});
        }
        return;
    }
    if (!membership_.ring()) {
        return;
    }
    leases_.on_tick(now);
    mover_.on_tick(now);
    upstream_failover_.on_tick(now);
    domain_failover_.on_tick(now);
    balancer_.on_tick(now);
}

void cw_keeper_core::handle(const cw_hosts_event& event, cw_time_point now) {
    context_.set_hosts(event.hosts, now);
    update_distributor_hosts();
    leases_.update_upstreams();
}

void cw_keeper_core::handle(const cw_config_event& event, cw_time_point now) {
    const auto* current_config = context_.config();
    if (current_config != nullptr && event.config->version <= current_config->version) {
        return;
    }
    context_.set_config(event.config);
    update_distributor_hosts();
    leases_.update_upstreams();
    config_distributor_.on_version(event.config->version, now);
    context_.record_event("config-in-force", "version " + std::to_string(event.config->version));
}

void cw_keeper_core::update_distributor_hosts() {
    if (context_.config() == nullptr) {
        return;
    }
    std::vector<std::string> remote_hosts;
    for (const auto& domain : context_.config()->domains) {
        const auto hosts = context_.entry_hosts(domain.name);
        if (domain.name != context_.domain() && !hosts.empty()) {
            remote_hosts.push_back(hosts.front());
        }
    }
    config_distributor_.set_hosts(context_.entry_hosts(context_.domain()), std::move(remote_hosts));
}

void cw_keeper_core::execute_distributor_commands() {
    for (const auto& command : config_distributor_.take_commands()) {
        switch (command.action) {
        case cw_version_distributor_command::kind::offer:
            context_.send(command.host, cw_offer_message{command.version});
            break;
        case cw_version_distributor_command::kind::acknowledge:
            context_.send(command.host, cw_offer_ack_message{command.version});
            break;
        case cw_version_distributor_command::kind::fetch:
            context_.emit(cw_fetch_config_command{command.host, command.version});
            break;
        }
    }
}

void cw_keeper_core::handle(const cw_table_event& event, cw_time_point now) {
    const auto& service = event.table.service();
    if (!context_.set_table(event)) {
        return;
    }
    table_distributor_.on_table(event.table, event.store_version, event.from_peer);
    leases_.on_table(*context_.table(service), now);
    balancer_.on_table(event.table, now);
    context_.emit(cw_publish_command{});
    if (membership_.ring() && !stopping_) {
        // Applies a change of owners immediately instead of at the next tick.
        leases_.on_tick(now);
        mover_.on_tick(now);
    }
}

void cw_keeper_core::handle(const cw_ring_event& event, cw_time_point now) {
    membership_.on_ring(event, now);
    domain_failover_.on_ring(event, now);
}

void cw_keeper_core::handle(const cw_write_event& event, cw_time_point /*now*/) {
    membership_.on_write(event);
    leases_.on_write(event);
    upstream_failover_.on_write(event);
    mover_.on_write(event);
    domain_failover_.on_write(event);
}

void cw_keeper_core::handle(const cw_peer_message& event, cw_time_point now) {
    if (event.from.host == context_.self().host) {
        return;
    }
    membership_.on_message(event.from, now);
    handle_body(event.from, event.body, now);
}

void cw_keeper_core::handle_body(const cw_ring_member& from, const cw_peer_body& body,
                                 cw_time_point now) {
    if (const auto* request = std::get_if<cw_promise_request_message>(&body)) {
        membership_.on_promise_request(from, *request, now);
    } else if (const auto* promise = std::get_if<cw_promise_message>(&body)) {
        membership_.on_promise(from, *promise);
    } else if (const auto* hold = std::get_if<cw_hold_message>(&body)) {
        leases_.on_hold(from, *hold, now);
    } else if (const auto* ack = std::get_if<cw_hold_ack_message>(&body)) {
        upstream_failover_.on_hold_ack(from, *ack, now);
        mover_.on_hold_ack(from, *ack, now);
    } else if (const auto* cancellation = std::get_if<cw_hold_cancel_message>(&body)) {
        leases_.on_hold_cancel(from, *cancellation);
    } else if (const auto* reachable = std::get_if<cw_reachable_message>(&body)) {
        upstream_failover_.on_reachable(reachable->upstream, now);
    } else if (std::holds_alternative<cw_leave_message>(body)) {
        membership_.on_leave(from);
    } else if (const auto* load = std::get_if<cw_load_message>(&body)) {
        balancer_.on_peer_load(from, *load, now);
    } else if (const auto* offer = std::get_if<cw_offer_message>(&body)) {
        config_distributor_.on_offer(from.host, offer->version, now);
    } else if (const auto* offer_ack = std::get_if<cw_offer_ack_message>(&body)) {
        config_distributor_.on_acknowledgement(from.host, offer_ack->version);
    } else if (const auto* table = std::get_if<cw_table_offer_message>(&body)) {
        table_distributor_.on_offer(from.host, *table, now);
    } else if (const auto* crash = std::get_if<cw_crash_message>(&body)) {
        crashes_.on_peer_report(*crash, now);
    }
}

void cw_keeper_core::handle(const cw_lease_reply& event, cw_time_point now) {
    leases_.on_reply(event, now);
    mover_.on_reply(event, now);
}

void cw_keeper_core::handle(const cw_router_load_event& event, cw_time_point now) {
    balancer_.on_router_load(event, now);
}

void cw_keeper_core::handle(const cw_crash_event& event, cw_time_point now) {
    crashes_.on_local_report(event, now);
}

void cw_keeper_core::handle(const cw_stop_event& /*event*/, cw_time_point now) {
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_deadline_ = now + 2 * context_.timings().store_retry_interval;
    membership_.retire(now);
}
