#pragma once

#include "cw_hold_round.h"
#include "cw_keeper_command.h"
#include "cw_keeper_event.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

class cw_balancer;
class cw_keeper_context;
class cw_lease_keeper;
class cw_membership;

/// Detects failed upstreams of this domain and reassigns their slices to other upstreams.
///
/// The new table is written only after every member of the ring has confirmed a hold on the
/// upstream and the last lease that any of them may have granted has expired. The members come from
/// a ring record that was read after the base epoch of the hold was known. A keeper that joins
/// later raises the table epoch before its first grant, so the conditional write fails in that
/// case.
class cw_upstream_failover {
public:
    cw_upstream_failover(cw_keeper_context& context, cw_membership& membership,
                         cw_lease_keeper& leases, const cw_balancer& balancer);

    void on_tick(cw_time_point now);
    void on_hold_ack(const cw_ring_member& from, const cw_hold_ack_message& ack, cw_time_point now);
    /// Cancels the failover of an upstream that a peer can reach, unless its table write was sent.
    void on_reachable(const std::string& upstream, cw_time_point now);
    void on_write(const cw_write_event& event);

    /// True while holds are collected or the new table is written for the upstream.
    [[nodiscard]] bool is_failing_over(const std::string& upstream) const {
        return failovers_.contains(upstream);
    }

private:
    /// One failover in progress.
    struct failover {
        std::string service;
        cw_hold_round holds;
        cw_time_point started;
        std::optional<cw_write_command> write;
        cw_time_point resend_at{};
    };

    /// Starts a failover if this keeper renews the upstream's leases and suspects that it failed.
    void start_if_suspected(const std::string& upstream, cw_time_point now);
    void advance(const std::string& upstream, failover& current, cw_time_point now);
    void write_table(const std::string& upstream, failover& current, cw_time_point now);
    void cancel(const std::string& upstream, const failover& current);

    cw_keeper_context& context_;
    cw_membership& membership_;
    cw_lease_keeper& leases_;
    const cw_balancer& balancer_;
    std::map<std::string, failover> failovers_;
};
