#pragma once

#include "cw_keeper_event.h"
#include "cw_planner.h"

#include <map>
#include <set>
#include <string>
#include <vector>

class cw_keeper_context;
class cw_lease_keeper;
class cw_membership;
class cw_mover;

/// Watches load and hosts, and starts planned moves: off leaving upstreams, onto new ones, and away
/// from busy ones within the churn budget of the service.
class cw_balancer {
public:
    cw_balancer(cw_keeper_context& context, cw_membership& membership, cw_lease_keeper& leases,
                cw_mover& mover);

    void on_tick(cw_time_point now);
    /// Notes which domains have just lost all their slices of the service.
    void on_table(const cw_slice_table& table, cw_time_point now);
    void on_router_load(const cw_router_load_event& event);
    void on_peer_load(const cw_ring_member& from, const cw_load_message& load, cw_time_point now);

    /// Load per slice over all routers whose reports are known.
    [[nodiscard]] cw_slice_loads loads(const std::string& service) const;
    /// Upstreams of the service that may receive slices, by id.
    [[nodiscard]] std::vector<cw_upstream_place> candidates(const std::string& service,
                                                            cw_time_point now) const;

private:
    void create_table(const cw_service_config& service, cw_time_point now);
    void drain(cw_time_point now);
    void balance(const cw_service_config& service, cw_time_point now);
    void share_load();
    /// Upstreams of this domain that should receive nothing.
    [[nodiscard]] std::vector<std::string> unfit_upstreams() const;
    [[nodiscard]] bool may_receive(const cw_upstream_place& place, const std::string& service,
                                   cw_time_point now) const;

    cw_keeper_context& context_;
    cw_membership& membership_;
    cw_lease_keeper& leases_;
    cw_mover& mover_;
    std::map<std::string, std::map<std::string, cw_slice_loads>> loads_;
    std::map<std::string, std::set<std::string>> unreachable_;
    std::map<std::string, cw_time_point> domain_heard_;
    std::map<std::string, cw_time_point> domain_emptied_;
    std::map<std::string, std::set<std::string>> owning_domains_;
    std::vector<std::string> shared_unfit_;
    std::map<std::string, cw_time_point> next_balance_;
    std::map<std::string, std::vector<cw_slice>> known_slices_;
    std::map<std::string, cw_time_point> next_create_;
    cw_time_point next_share_{};
    cw_time_point next_plan_{};
    cw_time_point started_{};
};
