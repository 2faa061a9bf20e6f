#pragma once

#include "cw_key_balance.h"
#include "cw_pending_commands.h"
#include "cw_predecessors.h"
#include "cw_range_state.h"
#include "cw_steward_command.h"
#include "cw_steward_event.h"
#include "cw_steward_failure_detector.h"
#include "cw_steward_options.h"
#include "cw_timeline_event.h"
#include "cw_upstream_entry.h"
#include "cw_upstream_speeds.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// One service's key ownership as one host sees it: it follows the steward, or is it.
///
/// The steward is the only host that grants keys, so it knows when each lease that it gave has run
/// out. Its right rests on the key table in the store, which names it: a host takes over by a
/// conditional write of the table, and a steward that has had no confirmation for the tenure stops.
/// A successor renews present owners at once, since that is always safe, and gives away keys of an
/// owner that does not answer only when nothing that an earlier steward granted can be in force.
///
/// A deterministic state machine: it reads no clock and does no I/O.
class cw_steward {
public:
    using commands = std::vector<cw_steward_command>;

    cw_steward(std::string service, cw_steward_id self, cw_steward_options options,
               std::uint64_t seed);

    void on_tick(cw_boot_time now, commands& out);
    void on_upstreams(const std::map<std::string, cw_upstream_entry>& entries, cw_boot_time now);
    void on_command_ended(const cw_ownership_command_ended& event, cw_boot_time now, commands& out);
    void on_table_answer(const cw_table_answer& event, cw_boot_time now, commands& out);
    void on_heartbeat_answer(const cw_heartbeat_answer& event, cw_boot_time now);
    /// A copy of the table from another host.
    void on_peer_table(const cw_key_table& table, cw_boot_time now);
    void on_report_result(cw_report_result result, cw_boot_time now);
    /// Another host shows by its table that it has succeeded this one.
    void on_succession(const cw_key_table& table, cw_boot_time now);
    void on_succession_ack(const cw_succession_ack& event, cw_boot_time now);
    /// A process of the given host reported; an earlier one of the same host has ended.
    void on_host_process(const std::string& host, std::uint64_t incarnation, cw_boot_time now);
    void on_load(const std::vector<cw_key_count>& counts, cw_boot_time now);
    void on_speeds(const std::vector<cw_speed_note>& samples);
    /// The bound comes from settings that may change.
    void set_tenure(std::chrono::milliseconds tenure);
    /// True for one of the strong hosts that watch a silent steward and succeed it; the others
    /// leave that to them for a while. The load that it answers: a store that all hosts of a large
    /// fleet ask at once when their steward falls behind.
    void set_reader(bool is_reader);
    /// Stops granting and lets another host take over.
    void on_stop(cw_boot_time now, commands& out);

    [[nodiscard]] const std::string& service() const { return service_; }
    /// The latest table known; keys that have settled are shown so. Term 0 when none is known.
    [[nodiscard]] const cw_key_table& table() const { return table_; }
    [[nodiscard]] bool is_steward() const;
    /// True while this host may grant keys.
    [[nodiscard]] bool may_grant(cw_boot_time now) const;
    /// True when the store has not confirmed this steward for so long that one whom the store
    /// answers should succeed it.
    [[nodiscard]] bool requests_successor(cw_boot_time now) const;
    /// Takes the decisions made since the last call, for log and time line.
    [[nodiscard]] std::vector<cw_timeline_event> take_events();

private:
    void adopt_table(const cw_key_table& table, cw_boot_time now);
    /// This host has come into office: earlier stewards may have sent any release already.
    void start_stewardship(cw_boot_time now);
    void run_as_follower(cw_boot_time now, commands& out);
    void run_as_steward(cw_boot_time now, commands& out);
    /// Sends the orders that waited for one to this upstream. The load that it answers: thousands
    /// of renewals a second, after which nothing else has to be decided.
    void send_commands_for_upstream(const cw_key_owner& upstream, cw_boot_time now, commands& out);
    void claim_stewardship(cw_boot_time now, commands& out);
    void send_commands_for_range(std::size_t index, cw_boot_time now, commands& out);
    /// Asks upstreams that were given up whether they answer again.
    void probe_unresponsive(cw_boot_time now, commands& out);
    /// True when nobody but the owner can hold the range.
    bool release_holders(std::size_t index, cw_boot_time now, commands& out);
    [[nodiscard]] bool can_hold(const cw_key_range& range, const cw_key_holder& holder,
                                cw_boot_time now) const;
    void send_command(cw_ownership_command command, commands& out);
    void plan_moves(cw_boot_time now, commands& out);
    void write_table(cw_key_table table, commands& out);
    void resign(cw_boot_time now, commands& out);
    void read_table(cw_boot_time now, commands& out);
    void on_grant_ended(const cw_ownership_command& command,
                        const cw_ownership_command_ended& event, cw_boot_time now);
    void on_release_ended(const cw_ownership_command& command,
                          const cw_ownership_command_ended& event);
    /// Takes a holder's own word that it has released its keys.
    void on_holder_released(cw_key_holder& holder, const cw_ownership_command_ended& event) const;
    /// Shows moving ranges that are confirmed as settled, unless a write is under way.
    void finish_moves(cw_boot_time now);
    void drop_ended_predecessors(cw_boot_time now);
    /// True when an owner can no longer be granted anything: its id lives on in a later life, or
    /// another upstream is at its address.
    [[nodiscard]] bool has_ended(const cw_key_owner& owner) const;
    [[nodiscard]] std::vector<cw_key_candidate> candidates(cw_boot_time now) const;
    /// Gives a range whose owner has seen a higher fence one above that.
    void raise_fence(cw_key_table& table);
    void record_event(std::string what, std::string subject, std::string detail);

    std::string service_;
    cw_steward_id self_;
    cw_steward_options options_;
    cw_steward_failure_detector failure_detector_;
    cw_pending_commands pending_commands_;
    cw_predecessors predecessors_;
    bool is_started_ = false;
    bool is_reader_ = true;

    cw_key_table table_;
    std::uint64_t revision_ = 0;
    /// True while the store's copy is known as of the last call.
    bool is_revision_known_ = false;
    /// What this host knows of the table's ranges, in their order.
    std::vector<cw_range_state> range_states_{cw_range_state{}};
    std::map<std::string, cw_upstream_entry> upstreams_;
    std::size_t max_upstreams_ = 0;
    /// When there were more upstreams than ever before.
    cw_boot_time upstreams_grew_at_{};

    bool is_store_busy_ = false;
    bool is_writing_table_ = false;
    cw_boot_time next_store_call_{};
    /// When the last call was sent by which the store confirmed that this host is the steward.
    cw_boot_time confirmed_at_{};
    bool is_stopping_ = false;
    /// Since when the store's copy lacks what has settled; the clock's beginning for no such time.
    cw_boot_time unsaved_since_{};

    bool is_heartbeat_busy_ = false;
    cw_boot_time next_heartbeat_{};
    std::uint64_t heartbeat_count_ = 0;

    cw_key_balance balance_;
    cw_upstream_speeds speeds_;
    /// When this host took over.
    cw_boot_time steward_since_{};
    std::vector<cw_timeline_event> events_;
};
