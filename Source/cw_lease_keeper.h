#pragma once

#include "cw_hold_registry.h"
#include "cw_keeper_event.h"
#include "cw_upstream_lease.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

class cw_keeper_context;
class cw_membership;
struct cw_stored_table;

/// Renews the leases of the domain's upstreams and tracks which leases may still be valid.
class cw_lease_keeper {
public:
    cw_lease_keeper(cw_keeper_context& context, cw_membership& membership);

    void on_tick(cw_time_point now);
    /// Updates the list of upstreams after a change of hosts, tables or services.
    void update_upstreams();
    void on_reply(const cw_lease_reply& reply, cw_time_point now);
    void on_table(const cw_stored_table& stored, cw_time_point now);
    void on_write(const cw_write_event& event);
    void on_hold(const cw_ring_member& from, const cw_hold_message& hold, cw_time_point now);
    void on_hold_cancel(const cw_ring_member& from, const cw_hold_cancel_message& cancellation);

    [[nodiscard]] cw_hold_registry& holds() { return holds_; }
    [[nodiscard]] cw_upstream_lease* lease(const std::string& upstream);
    [[nodiscard]] const std::map<std::string, cw_upstream_lease>& leases() const { return leases_; }
    /// True if this keeper currently renews the upstream's leases.
    [[nodiscard]] bool is_responsible(const std::string& upstream, cw_time_point now) const;
    /// True if the upstream does not answer and either two exchanges in a row failed or
    /// cw_timings::suspicion_timeout has passed.
    [[nodiscard]] bool is_suspected(const std::string& upstream, cw_time_point now) const;
    /// True if the latest exchange did not fail and the upstream answered within the lease
    /// duration.
    [[nodiscard]] bool is_healthy(const std::string& upstream, cw_time_point now) const;
    /// True if this keeper may grant a lease to the upstream by the current table.
    [[nodiscard]] bool may_grant(const std::string& upstream, cw_time_point now) const;
    /// Makes the next exchange due immediately; on_tick() sends it.
    void send_now(const std::string& upstream);
    /// Rewrites the service's table under a higher epoch of at least `min_epoch`, and raises the
    /// fence of `upstream` to it unless that is empty.
    void raise_epoch(const std::string& service, const std::string& upstream,
                     std::uint64_t min_epoch, cw_time_point now);
    /// True if this keeper has written the table of the service since it joined the ring; it may
    /// grant leases by that table only then.
    [[nodiscard]] bool is_admitted(const std::string& service) const;

private:
    /// A table write that raises the epoch and is not confirmed yet.
    struct pending_epoch_write {
        std::string writer;
        std::uint64_t epoch = 0;
        cw_time_point retry_at;
    };

    void set_location(const std::string& upstream, const std::string& service,
                      const std::string& address);
    /// Rewrites the tables of services that are not admitted yet, or were released.
    void admit_services(cw_time_point now);
    [[nodiscard]] bool is_released(const std::string& service, std::uint64_t table_epoch) const;
    void expire_exchange(cw_upstream_lease& lease, cw_time_point now);
    /// Ends an exchange that timed out, and starts the next one if it is due.
    void expire_or_renew(const std::string& upstream, cw_upstream_lease& lease, cw_time_point now);
    /// Raises the table epoch if the holder of a hold does not respond and the upstream is healthy.
    void void_stale_hold(const std::string& upstream, cw_upstream_lease& lease, cw_time_point now);
    void renew(const std::string& upstream, cw_upstream_lease& lease, cw_time_point now);
    void send(const std::string& upstream, cw_upstream_lease& lease, bool with_lease,
              cw_time_point now);
    void handle_stale_fence(const cw_lease_reply& reply, const cw_upstream_lease& lease,
                            cw_time_point now);

    cw_keeper_context& context_;
    cw_membership& membership_;
    cw_hold_registry holds_;
    std::map<std::string, cw_upstream_lease> leases_;
    std::map<std::string, pending_epoch_write> epoch_writes_;
    std::map<std::string, std::uint64_t> admitted_;
};
