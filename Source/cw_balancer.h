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

/// Monitors load and hosts, and starts planned moves: away from leaving upstreams, to new ones, and
/// away from busy ones within the churn budget of the service.
///
/// The budget limits the slices that change owner within one hold-down period. It counts all of
/// them, whichever keeper moved them and for whatever reason.
class cw_balancer {
public:
    cw_balancer(cw_keeper_context& context, cw_membership& membership, cw_lease_keeper& leases,
                cw_slice_mover& mover);

    /// Sends load reports and starts moves when they are due.
    void on_tick(cw_time_point now);
    /// Counts the moves, records domains that have just lost all their slices, and maps the known
    /// load to the new slices.
    void on_table(const cw_slice_table& table, cw_time_point now);
    /// Smooths the counts of one second from this host's router into the known load.
    void on_router_load(const cw_router_load_event& event, cw_time_point now);
    /// Replaces the known load of another host by its keeper's report.
    void on_peer_load(const cw_ring_member& from, const cw_load_message& report, cw_time_point now);

    /// Sum of the load of all routers with a current report, by the slices of the present table.
    [[nodiscard]] cw_service_load load(const std::string& service) const;
    /// Upstreams of the service that may receive slices, by id.
    [[nodiscard]] std::vector<cw_upstream_location> candidates(const std::string& service,
                                                               cw_time_point now) const;

private:
    void create_table(const cw_service_config& service, cw_time_point now);
    void drain_leaving_upstreams(cw_time_point now);
    void balance(const cw_service_config& service, cw_time_point now);
    [[nodiscard]] std::vector<cw_slice_move>
    plan_moves(const cw_service_config& service, std::size_t max_moves, cw_time_point now) const;
    /// Drops the load of hosts whose routers or keepers no longer report.
    void drop_stale_loads(cw_time_point now);
    /// Maps the load of a report to the slices of the present table; none if the table that the
    /// report is based on is not known.
    [[nodiscard]] std::optional<cw_service_load> remap_report(const cw_load_message& report) const;
    [[nodiscard]] cw_load_message make_report(const std::string& service) const;
    /// `previous` is null for the first table of a service.
    void count_moves(const cw_slice_table* previous, const cw_slice_table& table,
                     cw_time_point now);
    void update_owning_domains(const cw_slice_table& table, cw_time_point now);
    void send_load_reports();
    /// Upstreams of this domain that should receive no slices: unresponsive or draining ones.
    [[nodiscard]] std::vector<std::string> unfit_upstreams() const;
    [[nodiscard]] bool can_receive(const cw_upstream_location& location, const std::string& service,
                                   cw_time_point now) const;

    cw_keeper_context& context_;
    cw_membership& membership_;
    cw_lease_keeper& leases_;
    cw_slice_mover& mover_;
    /// A table whose slices differ from those of the previous one. Later tables with the same
    /// slices belong to the same layout.
    struct slice_layout {
        std::uint64_t first_epoch = 0;
        cw_slice_table table;
    };

    void add_layout(std::deque<slice_layout>& layouts, const cw_slice_table& table);

    /// Slices that have changed owner since the window began. All keepers process the same tables,
    /// so all arrive at the same count.
    struct move_window {
        cw_time_point end{};
        std::size_t moved = 0;
    };

    /// Load by service and host, mapped to the slices of the present table.
    std::map<std::string, std::map<std::string, cw_service_load>> loads_;
    /// Time of the latest load report of each host.
    std::map<std::string, cw_time_point> load_received_at_;
    /// The latest layouts of each service, which are needed to interpret late reports.
    std::map<std::string, std::deque<slice_layout>> layouts_;
    std::map<std::string, move_window> windows_;
    /// Upstreams that each host's keeper reported as unreachable or draining.
    std::map<std::string, std::set<std::string>> unreachable_by_host_;
    /// Time of the latest load report from each domain.
    std::map<std::string, cw_time_point> domain_report_at_;
    /// Time at which each domain lost its last slice.
    std::map<std::string, cw_time_point> domain_emptied_at_;
    std::map<std::string, std::set<std::string>> owning_domains_;
    /// The unfit upstreams that the latest reports to other keepers stated.
    std::vector<std::string> reported_unfit_;
    std::map<std::string, cw_time_point> next_balance_;
    std::map<std::string, cw_time_point> next_create_;
    cw_time_point next_report_{};
    cw_time_point next_plan_{};
    cw_time_point started_at_{};
};
