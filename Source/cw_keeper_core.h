#pragma once

#include "cw_balancer.h"
#include "cw_crash_broadcaster.h"
#include "cw_domain_failover.h"
#include "cw_keeper_command.h"
#include "cw_keeper_context.h"
#include "cw_keeper_event.h"
#include "cw_lease_keeper.h"
#include "cw_membership.h"
#include "cw_slice_mover.h"
#include "cw_table_distributor.h"
#include "cw_upstream_failover.h"
#include "cw_version_distributor.h"

#include <string>
#include <vector>

/// The keeper's decisions as a deterministic state machine without threads, sockets, clocks or
/// random numbers.
///
/// `now` must have been read after the event arrived. A delay between a decision and the execution
/// of its commands is safe because every deadline in a command is absolute.
class cw_keeper_core {
public:
    cw_keeper_core(cw_ring_member self, std::string domain, cw_timings timings);

    /// Handles one event and returns the commands to execute.
    [[nodiscard]] std::vector<cw_keeper_command> decide(const cw_keeper_event& event,
                                                        cw_time_point now);

    [[nodiscard]] const cw_keeper_context& context() const { return context_; }
    [[nodiscard]] const cw_membership& membership() const { return membership_; }
    [[nodiscard]] const cw_lease_keeper& leases() const { return leases_; }
    [[nodiscard]] const cw_upstream_failover& upstream_failover() const {
        return upstream_failover_;
    }
    [[nodiscard]] const cw_balancer& balancer() const { return balancer_; }
    [[nodiscard]] const cw_crash_broadcaster& crashes() const { return crashes_; }
    /// Keys of the store that this keeper watches for changes.
    [[nodiscard]] std::vector<std::string> watched_keys() const;

private:
    void handle(const cw_tick_event& event, cw_time_point now);
    void handle(const cw_hosts_event& event, cw_time_point now);
    void handle(const cw_config_event& event, cw_time_point now);
    void handle(const cw_table_event& event, cw_time_point now);
    void handle(const cw_ring_event& event, cw_time_point now);
    void handle(const cw_write_event& event, cw_time_point now);
    void handle(const cw_peer_message& event, cw_time_point now);
    void handle(const cw_lease_reply& event, cw_time_point now);
    void handle(const cw_router_load_event& event, cw_time_point now);
    void handle(const cw_crash_event& event, cw_time_point now);
    void handle(const cw_stop_event& event, cw_time_point now);
    /// Executes the commands of the configuration distributor.
    void execute_distributor_commands();
    void update_distributor_hosts();
    void handle_body(const cw_ring_member& from, const cw_peer_body& body, cw_time_point now);

    cw_keeper_context context_;
    cw_membership membership_;
    cw_lease_keeper leases_;
    cw_slice_mover mover_;
    cw_balancer balancer_;
    cw_upstream_failover upstream_failover_;
    cw_domain_failover domain_failover_;
    cw_crash_broadcaster crashes_;
    cw_table_distributor table_distributor_;
    cw_version_distributor config_distributor_;
    bool stopping_ = false;
    bool stopped_ = false;
    cw_time_point stop_deadline_{};
};
