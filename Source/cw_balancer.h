#pragma once

#include "cw_keeper_event.h"
#include "cw_planner.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

class cw_keeper_context;
class cw_lease_keeper;
class cw_membership;
class cw_slice_mover;

/// Watches load and hosts, and starts planned moves: off leaving upstreams, onto new ones, and away
/// from busy ones within the churn budget of the service.
///
/// The budget counts every slice that changes owner within one window of the hold-down, whoever
/// moved it and why.
class cw_balancer {
public:
    cw_balancer(cw_keeper_context& context, cw_membership& membership, cw_lease_keeper& leases,
                cw_slice_mover& mover);

    void on_tick(cw_time_point now);
    /// Keeps account of moves, of domains that have just lost all their slices, and restates the
    /// known load by the new slices.
    void on_table(const cw_slice_table& table, cw_time_point now);
    void on_router_load(const cw_router_load_event& event, cw_time_point now);
    void on_peer_load(const cw_ring_member& from, const cw_load_message& report, cw_time_point now);

    /// Load over all routers whose reports are known, by the slices of the present table.
    [[nodiscard]] cw_service_load load(const std::string& service) const;
    /// Upstreams of the service that may receive slices, by id.
    [[nodiscard]] std::vector<cw_upstream_place> candidates(const std::string& service,
                                                            cw_time_point now) const;

private:
    void create_table(const cw_service_config& service, cw_time_point now);
    void drain_leaving_upstreams(cw_time_point now);
    void balance(const cw_service_config& service, cw_time_point now);
    [[nodiscard]] std::vector<cw_slice_move>
    plan_moves(const cw_service_config& service, std::size_t max_moves, cw_time_point now) const;
    /// Drops the load of hosts whose routers or keepers have fallen silent.
    void drop_stale_loads(cw_time_point now);
    /// The load that a report states, by the slices of the present table; none when its own table
    /// is not known.
    [[nodiscard]] std::optional<cw_service_load> remap_report(const cw_load_message& report) const;
    [[nodiscard]] cw_load_message make_report(const std::string& service) const;
    /// `previous` is null for the first table of a service.
    void count_moves(const cw_slice_table* previous, const cw_slice_table& table,
                     cw_time_point now);
    void update_owning_domains(const cw_slice_table& table, cw_time_point now);
    void send_load_reports();
    /// Upstreams of this domain that should receive nothing.
    [[nodiscard]] std::vector<std::string> unfit_upstreams() const;
    [[nodiscard]] bool can_receive(const cw_upstream_place& place, const std::string& service,
                                   cw_time_point now) const;

    cw_keeper_context& context_;
    cw_membership& membership_;
    cw_lease_keeper& leases_;
    cw_slice_mover& mover_;
    /// A table whose slices differ from those of the table before.
    struct slice_layout {
        std::uint64_t first_epoch = 0;
        cw_slice_table table;
    };

    void add_layout(std::deque<slice_layout>& layouts, const cw_slice_table& table);

    /// Slices that have changed owner since the window began; all keepers see the same tables, so
    /// all keep the same account.
    struct move_window {
        cw_time_point end{};
        std::size_t moved = 0;
    };

    /// Load by service and host, restated by the slices of the present table.
    std::map<std::string, std::map<std::string, cw_service_load>> loads_;
    /// Moment at which the load of each host was last stated.
    std::map<std::string, cw_time_point> load_received_at_;
    /// The latest eras of each service, by which late reports can still be read.
    std::map<std::string, std::deque<slice_layout>> layouts_;
    std::map<std::string, move_window> windows_;
    std::map<std::string, std::set<std::string>> unreachable_by_host_;
    std::map<std::string, cw_time_point> domain_report_at_;
    std::map<std::string, cw_time_point> domain_emptied_at_;
    std::map<std::string, std::set<std::string>> owning_domains_;
    std::vector<std::string> reported_unfit_;
    std::map<std::string, cw_time_point> next_balance_;
    std::map<std::string, cw_time_point> next_create_;
    cw_time_point next_report_{};
    cw_time_point next_plan_{};
    cw_time_point started_at_{};
};
