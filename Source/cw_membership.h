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

/// Membership of this keeper in its domain's ring, and the tenure that follows from it.
///
/// A member may be removed only by a peer from which the member itself has asked promises, or once
/// the member is proved gone. The remover stops promising before it writes, and nothing that
/// depends on the removal happens before cw_timings::settle has passed since the write was seen.
class cw_membership {
public:
    explicit cw_membership(cw_keeper_context& context);

    void on_tick(cw_time_point now);
    void on_ring(const cw_ring_event& event, cw_time_point now);
    void on_write(const cw_write_event& event);
    void on_ask(const cw_ring_member& from, const cw_ask_message& ask, cw_time_point now);
    void on_promise(const cw_ring_member& from, const cw_promise_message& promise);
    void on_leave(const cw_ring_member& from);
    /// Any message proves that its sender was alive.
    void on_heard(const cw_ring_member& from, cw_time_point now);
    /// Gives up all rights of this keeper.
    void retire(cw_time_point now);

    [[nodiscard]] const std::optional<cw_ring>& ring() const { return ring_; }
    /// Moment at which the ring read that is known was sent.
    [[nodiscard]] cw_time_point ring_read_sent() const { return ring_read_sent_; }
    [[nodiscard]] bool is_member() const;
    [[nodiscard]] bool is_retired() const { return retired_; }
    /// True when a lease of a service with the given policy may be granted now.
    [[nodiscard]] bool may_grant(cw_partition_policy policy, cw_time_point now) const;
    /// Earliest moment at which all leases of removed members have surely ended.
    [[nodiscard]] cw_time_point settled_at() const { return settled_at_; }
    /// True when a peer was heard within the suspicion time and has not left.
    [[nodiscard]] bool is_alive(const std::string& host, cw_time_point now) const;
    /// The same for one incarnation of a host.
    [[nodiscard]] bool is_alive(const cw_ring_member& member, cw_time_point now) const;
    /// Members that are alive and work by the newest tables, this keeper included. One that is cut
    /// off from the store falls behind, and others act in its place. All living members when there
    /// is no other.
    [[nodiscard]] std::vector<std::string> alive_members(cw_time_point now) const;
    /// True when this keeper is the one to renew an upstream's leases.
    [[nodiscard]] bool is_primary(const std::string& upstream, cw_time_point now) const;
    /// True when this keeper is the first living member by name.
    [[nodiscard]] bool is_leader(cw_time_point now) const;
    /// Asks for a read of the ring record from the store.
    void read_ring(cw_time_point now);
    /// True when the store answered of late; otherwise it is asked, and a later call may succeed.
    [[nodiscard]] bool confirm_store(cw_time_point now);
    /// Wants silent members removed sooner than cw_timings::removal.
    void hasten_removal() { hasten_ = true; }
    /// True when the member has asked this keeper for a promise by a record of at least the given
    /// epoch. It then grants nothing for longer than one tenure without such a promise.
    [[nodiscard]] bool counts_on_me(const cw_ring_member& member, std::uint64_t epoch) const;
    /// Stops promising to all members of a domain until the given ring epoch is passed.
    void withhold_promises(const std::string& domain, std::uint64_t ring_epoch);
    /// The epoch at which this keeper last joined the ring; 0 when it is no member.
    [[nodiscard]] std::uint64_t joined_epoch() const;
    [[nodiscard]] std::optional<cw_time_point> last_heard(const std::string& host) const;

private:
    void send_asks(cw_time_point now);
    [[nodiscard]] std::uint64_t table_epochs() const;
    /// Notes which members work by older tables than others.
    void compare_tables(cw_time_point now);
    [[nodiscard]] bool is_behind(const std::string& host, cw_time_point now) const;
    /// Tells the peers that all rights are given up; repeated, since messages may be lost.
    void say_leave();
    void keep_record(cw_time_point now);
    void join(cw_time_point now);
    void remove_silent(cw_time_point now);
    void update_deputies(cw_time_point now);
    void note_deputies(const cw_ring& next, cw_time_point now);
    /// True when a host that is no deputy was heard lately enough to become one.
    [[nodiscard]] bool is_newcomer(const std::string& host, cw_time_point now) const;
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
    cw_time_point settled_at_{};
    struct asker {
        cw_ring_member member;
        std::uint64_t ring_epoch = 0;
    };

    std::map<std::string, asker> asked_me_;
    std::map<std::string, cw_time_point> heard_;
    std::map<std::string, cw_ring_member> incarnations_;
    /// Tables that each member said it works by, and since when that is less than others have.
    std::map<std::string, std::uint64_t> told_epochs_;
    std::map<std::string, cw_time_point> behind_since_;
    std::set<cw_ring_member> left_;
    std::map<std::string, std::uint64_t> withheld_;
    std::map<std::string, std::uint64_t> known_epochs_;
    cw_time_point deputies_named_{};
    /// Moment at which each former deputy was seen to be one no more.
    std::map<std::string, cw_time_point> dismissed_;
    std::optional<pending_write> pending_;
    cw_time_point next_ask_{};
    cw_time_point next_read_{};
    cw_time_point started_{};
    bool hasten_ = false;
    bool retired_ = false;
    bool leaving_in_order_ = false;
};
