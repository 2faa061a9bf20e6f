#pragma once

#include "cw_keeper_command.h"
#include "cw_keeper_event.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

class cw_balancer;
class cw_keeper_context;
class cw_membership;

/// Takes over the services of the `release` policy from a failure domain whose keepers do not
/// respond.
///
/// Only keepers that the domain's ring record lists as deputies do this. A deputy first stops
/// sending promises to the domain's keepers, then marks the services as released in the ring
/// record, and moves the slices after cw_timings::settle_time. The domain's keepers can grant
/// leases only with the promise of every deputy or after a read of the record. They can grant a
/// released service only under a later table epoch, and the conditional write that moves the slices
/// fails if the epoch has risen.
class cw_domain_failover {
public:
    cw_domain_failover(cw_keeper_context& context, cw_membership& membership,
                       const cw_balancer& balancer);

    void on_ring(const cw_ring_event& event, cw_time_point now);
    void on_write(const cw_write_event& event);
    void on_tick(cw_time_point now);
    /// Domains for which the configuration names this keeper's domain as deputy.
    [[nodiscard]] std::vector<std::string> protected_domains() const;

private:
    /// State of one protected domain.
    struct domain_state {
        std::optional<cw_ring> ring;
        /// Time since which none of the domain's keepers responds; absent while one does.
        std::optional<cw_time_point> unresponsive_since;
        std::uint64_t store_version = 0;
        cw_time_point released_seen{};
        /// Time at which the latest answered read of the ring record was sent.
        cw_time_point read_sent{};
        cw_time_point next_read{};
        std::optional<cw_write_command> ring_write;
        std::map<std::string, cw_write_command> table_writes;
        cw_time_point resend_at{};
    };

    void update_domain(const std::string& domain, domain_state& state, cw_time_point now);
    [[nodiscard]] bool is_unresponsive(const domain_state& state, cw_time_point now) const;
    [[nodiscard]] bool may_release(const domain_state& state, cw_time_point now) const;
    /// Services of the `release` policy that have slices in the domain.
    [[nodiscard]] std::vector<std::string> release_services_in(const std::string& domain) const;
    /// Writes a ring record that marks the services as released.
    void release(const std::string& domain, domain_state& state,
                 const std::vector<std::string>& services, cw_time_point now);
    /// Writes tables that move the slices of the released services to other domains.
    void take_over(const std::string& domain, domain_state& state, cw_time_point now);
    void resend(domain_state& state, cw_time_point now);

    cw_keeper_context& context_;
    cw_membership& membership_;
    const cw_balancer& balancer_;
    std::map<std::string, domain_state> domains_;
};
