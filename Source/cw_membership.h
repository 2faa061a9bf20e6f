#pragma once

#include "cw_keeper_command.h"
#include "cw_keeper_event.h"
#include "cw_ring.h"
#include "cw_tenure.h"

#include <map>
#include <optional>
#include <set>
#include <string>

class cw_keeper_context;

/// Maintains this keeper's membership in the ring of its domain and its tenure, the time for which
/// it may grant leases.
///
/// A member is removed only by a peer from which it has requested promises, or once it is known to
/// have ended. The remover stops sending promises before it writes the ring record. Actions that
/// depend on the removal wait until cw_timings::settle_time has passed since the write was seen.
class cw_membership {
public:
    explicit cw_membership(cw_keeper_context& context);

    void on_tick(cw_time_point now);
    void on_ring(const cw_ring_event& event, cw_time_point now);
    void on_write(const cw_write_event& event);
    /// Sends the requested promise unless this keeper has retired, withholds promises from the
    /// domain, or knows of a newer or pending ring record.
    void on_promise_request(const cw_ring_member& from, const cw_promise_request_message& request,
                            cw_time_point now);
    void on_promise(const cw_ring_member& from, const cw_promise_message& promise);
    /// Records that the sender has left and can neither grant leases nor remove members.
    void on_leave(const cw_ring_member& from);
    /// Records that a message arrived; any message shows that its sender was alive.
    void on_message(const cw_ring_member& from, cw_time_point now);
    /// Stops granting leases and promises, and leaves the ring. This cannot be undone.
    void retire(cw_time_point now);

    [[nodiscard]] const std::optional<cw_ring>& ring() const { return ring_; }
    /// Time at which the latest answered read of the ring record was sent.
    [[nodiscard]] cw_time_point ring_read_sent() const { return ring_read_sent_; }
    [[nodiscard]] bool is_member() const;
    [[nodiscard]] bool is_retired() const { return retired_; }
    /// True when a lease of a service with the given policy may be granted now.
    [[nodiscard]] bool may_grant(cw_partition_policy policy, cw_time_point now) const;
    /// Time after which all leases granted by removed members have expired.
    [[nodiscard]] cw_time_point removed_leases_end() const { return removed_leases_end_; }
    /// True if the peer sent a message within cw_timings::suspicion_timeout and has not left the
    /// ring.
    [[nodiscard]] bool is_alive(const std::string& host, cw_time_point now) const;
    /// The same for one incarnation of a host.
    [[nodiscard]] bool is_alive(const cw_ring_member& member, cw_time_point now) const;
    /// Members that are alive and use the newest tables, by host id; may include this keeper. A
    /// member that cannot reach the store falls behind and is excluded so that others act in its
    /// place. Returns all alive members if every one of them is behind.
    [[nodiscard]] std::vector<std::string> alive_members(cw_time_point now) const;
    /// True if this keeper has the highest rendezvous weight for the upstream among
    /// alive_members(), so that it renews the upstream's leases.
    [[nodiscard]] bool is_primary(const std::string& upstream, cw_time_point now) const;
    /// True if this keeper is the first of alive_members().
    [[nodiscard]] bool is_first_alive(cw_time_point now) const;
    /// Requests a read of the ring record, at most one per cw_timings::promise_request_interval.
    void read_ring(cw_time_point now);
    /// True if a read of the ring record sent within cw_timings::max_store_read_age was answered;
    /// otherwise requests a read, so that a later call may succeed.
    [[nodiscard]] bool confirm_store(cw_time_point now);
    /// Removes unresponsive members after cw_timings::suspicion_timeout instead of
    /// cw_timings::removal_timeout until the ring record changes.
    void shorten_removal_timeout() { short_removal_timeout_ = true; }
    /// True if the member has requested a promise from this keeper under a ring record of at least
    /// the given epoch. Such a member cannot grant leases for longer than one tenure without the
    /// promise.
    [[nodiscard]] bool depends_on_this_keeper(const cw_ring_member& member,
                                              std::uint64_t epoch) const;
    /// Sends no promises to members of the domain whose ring epoch is not above the given epoch.
    void withhold_promises(const std::string& domain, std::uint64_t ring_epoch);
    /// Ring epoch at which this keeper last joined; 0 if it is not a member.
    [[nodiscard]] std::uint64_t joined_epoch() const;
    /// Time of the latest message from the host; nullopt if there was none.
    [[nodiscard]] std::optional<cw_time_point> last_message_time(const std::string& host) const;

private:
    void send_promise_requests(cw_time_point now);
    [[nodiscard]] std::uint64_t table_epochs() const;
    /// Records which members use older tables than others.
    void compare_tables(cw_time_point now);
    [[nodiscard]] bool is_behind(const std::string& host, cw_time_point now) const;
    /// Notifies the peers that this keeper grants nothing any more; repeated because messages may
    /// be lost.
    void send_leave();
    /// Joins the ring, removes unresponsive members and updates the deputies as needed.
    void maintain_ring(cw_time_point now);
    void join(cw_time_point now);
    void remove_unresponsive(cw_time_point now);
    void update_deputies(cw_time_point now);
    void track_deputies(const cw_ring& next, cw_time_point now);
    /// True if the host, which is not a deputy, sent a message recently enough to become one.
    [[nodiscard]] bool is_deputy_candidate(const std::string& host, cw_time_point now) const;
    void write_ring(cw_ring next, cw_time_point now);
    void resend_write(cw_time_point now);
    [[nodiscard]] std::vector<cw_ring_member> ring_peers() const;
    [[nodiscard]] bool may_remove(const cw_ring_member& member, cw_time_point now) const;
    [[nodiscard]] std::vector<cw_ring_member> wanted_deputies(cw_time_point now) const;
    [[nodiscard]] bool owns_release_service() const;

    struct pending_write {
        cw_write_command command;
        cw_time_point resend_at;
    };

    cw_keeper_context& context_;
    cw_tenure tenure_;
    std::optional<cw_ring> ring_;
    std::uint64_t ring_version_ = 0;
    cw_time_point ring_read_sent_{};
    bool ring_known_ = false;
    cw_time_point removed_leases_end_{};
    /// The keeper that last requested a promise, and the ring epoch that it used.
    struct promise_requester {
        cw_ring_member member;
        std::uint64_t ring_epoch = 0;
    };

    std::map<std::string, promise_requester> promise_requesters_;
    std::map<std::string, cw_time_point> last_message_times_;
    std::map<std::string, cw_ring_member> incarnations_;
    /// Sum of table epochs that each member reported, and the time since which it is below the
    /// highest.
    std::map<std::string, std::uint64_t> reported_epochs_;
    std::map<std::string, cw_time_point> behind_since_;
    std::set<cw_ring_member> left_members_;
    std::map<std::string, std::uint64_t> withheld_epochs_;
    std::map<std::string, std::uint64_t> known_epochs_;
    cw_time_point deputies_changed_at_{};
    /// Time at which each former deputy was found missing from the list of deputies.
    std::map<std::string, cw_time_point> dismissed_deputies_;
    std::optional<pending_write> pending_;
    cw_time_point next_promise_request_{};
    cw_time_point next_read_{};
    cw_time_point started_{};
    bool short_removal_timeout_ = false;
    bool retired_ = false;
    bool announces_leave_ = false;
};
