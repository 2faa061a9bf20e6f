#pragma once

#include "cw_ended_stewardship.h"
#include "cw_key_balancer.h"
#include "cw_pending_commands.h"
#include "cw_predecessors.h"
#include "cw_range_state.h"
#include "cw_steward_command.h"
#include "cw_steward_event.h"
#include "cw_steward_failure_detector.h"
#include "cw_steward_options.h"
#include "cw_store_era.h"
#include "cw_timeline_event.h"
#include "cw_upstream_entry.h"
#include "cw_upstream_speeds.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Decides the key ownership of one service on one host, either as the service's steward or as a
/// follower of it.
///
/// The steward is the elected leader of a service and the only host that grants its keys, so it
/// knows when each lease that it granted expires. The key table in the store names the steward: a
/// host takes over by a conditional write of the table, and a steward stops granting when the store
/// has not confirmed it for the length of the tenure. A successor renews the leases of present
/// owners at once, which is safe as long as the store has lost no move. It moves the keys of an
/// unresponsive owner only when all grants of earlier stewards have expired.
///
/// The store may come back from an older copy of itself, which lacks the latest claims and moves.
/// The steward then writes its table again under a term of the new era. Whoever writes in a new era
/// counts on an unknown steward of before: the fences continue far above the known ones, and keys
/// of an owner that does not answer wait for that steward's tenure. A host that was not the steward
/// itself grants nothing until then, and then each range under a new fence; or it goes by the
/// owners and fences of the steward of before, if that one acknowledges the succession.
///
/// A deterministic state machine: it reads no clock and does no I/O. Events come in through the
/// on_...() functions; commands for the caller to execute are appended to `out`.
class cw_steward {
public:
    using commands = std::vector<cw_steward_command>;

    cw_steward(std::string service, cw_steward_id self, cw_steward_options options,
               std::uint64_t seed);

    /// Sends what is due; to be called at short regular intervals.
    void on_tick(cw_boot_time now, commands& out);
    /// Replaces the known upstreams; those of other services are ignored.
    void on_upstreams(const std::map<std::string, cw_upstream_entry>& entries, cw_boot_time now);
    void on_command_ended(const cw_ownership_command_ended& event, cw_boot_time now, commands& out);
    /// The store answered a read or a write of the key table.
    void on_table_answer(const cw_table_answer& event, cw_boot_time now, commands& out);
    /// The store answered a read or a write of the steward's heartbeat.
    void on_heartbeat_answer(const cw_heartbeat_answer& event, cw_boot_time now);
    /// The store has come back from an older copy and is in the given era now.
    void on_store_era(std::uint64_t era, cw_boot_time now);
    /// Another host sent a copy of the key table. A steward ignores it.
    void on_peer_table(const cw_key_table& table, cw_boot_time now);
    /// A report of this host to the steward has ended.
    void on_report_result(cw_report_result result, cw_boot_time now);
    /// Another host sent a table that names it as the steward of a later term.
    void on_succession(const cw_key_table& table, cw_boot_time now);
    /// A predecessor acknowledged that this host has succeeded it.
    void on_succession_ack(const cw_succession_ack& event, cw_boot_time now);
    /// A process of the given host reported; earlier processes of that host have ended.
    void on_host_process(const std::string& host, std::uint64_t incarnation, cw_boot_time now);
    /// Adds requests per key, counted by one host.
    void on_load(const std::vector<cw_key_count>& counts, cw_boot_time now);
    /// Adds measured speeds of upstreams.
    void on_speeds(const std::vector<cw_speed_sample>& samples);
    /// Raises the tenure to the given value; a lower value is ignored. Called when the settings
    /// have changed.
    void set_tenure(std::chrono::milliseconds tenure);
    /// Sets whether cold upstreams of the service take few requests only, so that their keys are
    /// moved to others.
    void set_cold_limit(bool has_cold_limit) { has_cold_limit_ = has_cold_limit; }
    /// Sets the time within which callers have full use of a response of this service, by which the
    /// length of the leases is chosen. The leases of a steward are lengthened once its table in the
    /// store names the new length.
    void set_longest_target(std::chrono::milliseconds target);
    /// `is_reader` is true for the hosts with the most CPU capacity of a failure domain, which
    /// check the heartbeats of an unresponsive steward and succeed it. The other hosts wait longer
    /// before they do so, since in a large fleet all hosts would otherwise call the store at once
    /// when the steward falls behind.
    void set_reader(bool is_reader);
    /// Resigns, if this host is the steward, so that another host can take over.
    void on_stop(cw_boot_time now, commands& out);

    [[nodiscard]] const std::string& service() const { return service_; }
    /// The latest known table, in which settled moves are marked as such even if the store's copy
    /// lacks that. Its term is 0 if no table is known.
    [[nodiscard]] const cw_key_table& table() const { return table_; }
    /// This host's last stewardship that has ended.
    [[nodiscard]] const cw_ended_stewardship& ended_stewardship() const {
        return ended_stewardship_;
    }
    /// True if the latest known table names this process as the steward.
    [[nodiscard]] bool is_steward() const;
    /// True while this host is the steward and the last confirmation by the store is younger than
    /// the tenure.
    [[nodiscard]] bool may_grant(cw_boot_time now) const;
    /// True if this host is the steward and the store has not confirmed it for longer than
    /// cw_steward_options::max_unconfirmed, so that a host which the store answers should succeed
    /// it.
    [[nodiscard]] bool requests_successor(cw_boot_time now) const;
    /// Returns the events recorded since the last call, for the log and the time line.
    [[nodiscard]] std::vector<cw_timeline_event> take_events();

private:
    /// Replaces the known table and carries over the state of its ranges. Every change of this
    /// host's role comes about here, wherever the table comes from.
    void adopt_table(const cw_key_table& table, cw_boot_time now);
    /// Discards what belongs to the stewardship that has ended.
    void end_stewardship(cw_boot_time now);
    /// Prepares the state of a host that has become steward. Since earlier stewards may have sent
    /// any release already, every holder is marked accordingly.
    void start_stewardship(cw_boot_time now);
    void run_as_follower(cw_boot_time now, commands& out);
    void run_as_steward(cw_boot_time now, commands& out);
    /// Sends the commands that are due for ranges which the upstream owns or may still hold. With
    /// thousands of renewals a second it would cost too much to check all ranges after each answer,
    /// and a confirmed renewal requires no other decision.
    void send_commands_for_upstream(const cw_key_owner& upstream, cw_boot_time now, commands& out);
    /// Writes a table of the next term that names this host as the steward.
    void claim_stewardship(cw_boot_time now, commands& out);
    /// Writes the steward's table again, which the store has lost.
    void restore_table(cw_boot_time now, commands& out);
    /// Gives the table a term of the store's present era. If the store may have lost moves,
    /// provides for the steward and for the fences of those moves.
    void begin_term(cw_key_table& table, cw_boot_time now) const;
    /// True if the store may have lost claims and moves that are later than the table.
    [[nodiscard]] bool may_lack_moves(const cw_key_table& table, cw_boot_time now) const;
    /// True if the revision was read in the store's present era.
    [[nodiscard]] bool is_revision_current() const;
    /// True while keys may be held by upstreams which the table does not name, so that not even the
    /// present owners may be granted them.
    [[nodiscard]] bool are_owners_uncertain(cw_boot_time now) const;
    /// True while a steward of which nothing is known may still grant keys.
    [[nodiscard]] bool may_unknown_steward_grant(cw_boot_time now) const;
    /// Sends the releases that are due for the range, and a grant to the owner if one is due and no
    /// other upstream can hold the range.
    void send_commands_for_range(std::size_t index, cw_boot_time now, commands& out);
    /// Sends the probes that are due to unresponsive upstreams.
    void probe_unresponsive(cw_boot_time now, commands& out);
    /// Sends the releases that are due for the range. True if no upstream but the owner can hold
    /// it.
    bool release_holders(std::size_t index, cw_boot_time now, commands& out);
    /// True if the holder may still hold keys of the range or run work on them.
    [[nodiscard]] bool can_hold(const cw_key_range& range, const cw_key_holder& holder,
                                cw_boot_time now) const;
    void send_command(cw_ownership_command command, cw_boot_time now, commands& out);
    /// Takes into account that leases of the given length may have been granted.
    void note_lease(std::chrono::milliseconds lease);
    /// Length of the leases that may be granted now.
    [[nodiscard]] std::chrono::milliseconds granted_lease() const;
    /// Longest time for which a lease of any steward of the table may be in force.
    [[nodiscard]] std::chrono::milliseconds max_lease() const;
    void plan_moves(cw_boot_time now, commands& out);
    /// Writes the owners of the steward of before, which are certain, once its last grants have
    /// ended.
    void write_acknowledged_owners(cw_boot_time now, commands& out);
    void write_table(cw_key_table table, commands& out);
    void resign(cw_boot_time now, commands& out);
    /// Takes this host, which has learned that its resignation is accepted and grants nothing any
    /// more, off the list of those that may.
    void withdraw(cw_boot_time now, commands& out);
    void read_table(cw_boot_time now, commands& out);
    /// Reads the table if connections to upstreams have been opened since the store last confirmed
    /// this host as the steward.
    void confirm_for_connections(cw_boot_time now, commands& out);
    void on_grant_ended(const cw_ownership_command& command,
                        const cw_ownership_command_ended& event, cw_boot_time now);
    void on_release_ended(const cw_ownership_command& command,
                          const cw_ownership_command_ended& event);
    /// Applies a holder's answer that it has released its keys.
    void on_holder_released(cw_key_holder& holder, const cw_ownership_command_ended& event) const;
    /// Marks moving ranges whose new owner has confirmed as settled, unless a write of the table is
    /// pending.
    void finish_moves(cw_boot_time now);
    void drop_ended_predecessors(cw_boot_time now);
    /// True if an owner's process has ended: there is a later incarnation with its id, or another
    /// upstream answers at its address.
    [[nodiscard]] bool has_ended(const cw_key_owner& owner) const;
    /// Upstreams that may own keys. Cold ones are left out, and so give their keys away, if the
    /// service has a limit for them and at least half of the upstreams are not cold.
    [[nodiscard]] std::vector<cw_key_candidate> candidates(cw_boot_time now) const;
    void record_event(std::string type, std::string subject, std::string detail);

    std::string service_;
    cw_steward_id self_;
    cw_steward_options options_;
    cw_steward_failure_detector failure_detector_;
    cw_pending_commands pending_commands_;
    cw_predecessors predecessors_;
    bool is_started_ = false;
    bool is_reader_ = true;
    bool has_cold_limit_ = false;
    /// Length of the leases that the configuration calls for.
    std::chrono::milliseconds wanted_lease_;
    /// The longest one of all tables and configurations that this process has known.
    std::chrono::milliseconds longest_known_lease_;

    cw_key_table table_;
    std::uint64_t revision_ = 0;
    /// True if `revision_` is the store's revision as of the last call.
    bool is_revision_known_ = false;
    /// The store's era in which `revision_` was read.
    std::uint64_t revision_era_ = 0;
    cw_store_era store_era_;
    /// True if this host is the steward and the store's copy lacks its term.
    bool is_table_lost_ = false;
    cw_ended_stewardship ended_stewardship_;
    /// The steward of the table over which this host has claimed; empty if it had resigned.
    cw_steward_id succeeded_;
    /// The last table of that steward, which has acknowledged the succession; none if it has not,
    /// or if its owners were uncertain as well.
    std::shared_ptr<const cw_key_table> succeeded_table_;
    /// When its last grants have ended.
    cw_boot_time owners_certain_at_{};
    /// State of the table's ranges, in their order.
    std::vector<cw_range_state> range_states_{cw_range_state{}};
    std::map<std::string, cw_upstream_entry> upstreams_;
    std::size_t peak_upstreams_ = 0;
    /// When the number of upstreams last reached a new maximum.
    cw_boot_time upstreams_grew_at_{};

    bool is_store_busy_ = false;
    bool is_writing_table_ = false;
    cw_boot_time next_store_call_{};
    /// When the latest call was sent whose answer confirmed that this host is the steward.
    cw_boot_time confirmed_at_{};
    /// When the last grant ended that waits for a later confirmation.
    cw_boot_time unconfirmed_at_{};
    cw_boot_time next_confirmation_{};
    bool is_stopping_ = false;
    /// Since when settled moves are missing from the store's copy; the clock's epoch if none are.
    cw_boot_time unsaved_since_{};

    bool is_heartbeat_busy_ = false;
    cw_boot_time next_heartbeat_{};
    std::uint64_t heartbeat_count_ = 0;

    cw_key_balancer balance_;
    cw_upstream_speeds speeds_;
    /// When this host last became steward.
    cw_boot_time steward_since_{};
    std::vector<cw_timeline_event> events_;
};
