#pragma once

#include "cw_balancer.h"
#include "cw_condemner.h"
#include "cw_crash_relay.h"
#include "cw_keeper_command.h"
#include "cw_keeper_context.h"
#include "cw_keeper_event.h"
#include "cw_lease_keeper.h"
#include "cw_membership.h"
#include "cw_relay.h"
#include "cw_releaser.h"
#include "cw_slice_mover.h"
#include "cw_table_relay.h"

#include <string>
#include <vector>

/// The keeper's decisions as one deterministic state machine: no threads, sockets, clocks or
/// chance.
///
/// `now` must have been read after the event arrived. A shell that is paused between a decision and
/// the sending of its commands does no harm: every deadline in a command is absolute.
class cw_keeper_core {
public:
    cw_keeper_core(cw_ring_member self, std::string domain, cw_timings timings);

    [[nodiscard]] std::vector<cw_keeper_command> decide(const cw_keeper_event& event,
                                                        cw_time_point now);

    [[nodiscard]] const cw_keeper_context& context() const { return context_; }
    [[nodiscard]] const cw_membership& membership() const { return membership_; }
    [[nodiscard]] const cw_lease_keeper& leases() const { return leases_; }
    [[nodiscard]] const cw_condemner& condemner() const { return condemner_; }
    [[nodiscard]] const cw_balancer& balancer() const { return balancer_; }
    [[nodiscard]] const cw_crash_relay& crashes() const { return crashes_; }
    /// Keys of the store whose changes this keeper needs to hear of.
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
    /// Carries the relay's commands out and tells it the hosts.
    void flush_relay();
    void update_relay_hosts();
    void handle_body(const cw_ring_member& from, const cw_peer_body& body, cw_time_point now);

    cw_keeper_context context_;
    cw_membership membership_;
    cw_lease_keeper leases_;
    cw_slice_mover mover_;
    cw_balancer balancer_;
    cw_condemner condemner_;
    cw_releaser releaser_;
    cw_crash_relay crashes_;
    cw_table_relay tables_;
    cw_relay relay_;
    bool stopping_ = false;
    bool stopped_ = false;
    cw_time_point stop_by_{};
};
