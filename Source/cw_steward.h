#pragma once

#include "cw_key_balancer.h"
#include "cw_order_book.h"
#include "cw_predecessors.h"
#include "cw_range_state.h"
#include "cw_steward_command.h"
#include "cw_steward_event.h"
#include "cw_steward_options.h"
#include "cw_steward_suspicion.h"
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
    void on_order_ended(const cw_order_ended& event, cw_boot_time now, commands& out);
    void on_table_answer(const cw_table_answer& event, cw_boot_time now, commands& out);
    void on_beat_answer(const cw_beat_answer& event, cw_boot_time now);
    /// A copy of the table from another host.
    void on_copy(const cw_key_table& table, cw_boot_time now);
    void on_contact(cw_contact contact, cw_boot_time now);
    /// Another host shows by its table that it has succeeded this one.
    void on_succession(const cw_key_table& table, cw_boot_time now);
    void on_gave_way(const cw_gave_way& event, cw_boot_time now);
    /// A process of the given host reported; an earlier one of the same host has ended.
    void on_member(const std::string& host, std::uint64_t incarnation, cw_boot_time now);
    void on_load(const std::vector<cw_key_count>& counts, cw_boot_time now);
    void on_speeds(const std::vector<cw_speed_note>& notes);
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
    [[nodiscard]] bool seeks_successor(cw_boot_time now) const;
    /// Takes the decisions made since the last call, for log and time line.
    [[nodiscard]] std::vector<cw_timeline_event> take_events();

private:
    void adopt(const cw_key_table& table, cw_boot_time now);
    /// This host has come into office: earlier stewards may have sent any release already.
    void begin_office(cw_boot_time now);
    void follow(cw_boot_time now, commands& out);
    void lead(cw_boot_time now, commands& out);
    /// Sends the orders that waited for one to this upstream. The load that it answers: thousands
    /// of renewals a second, after which nothing else has to be decided.
    void order_ranges_of(const cw_key_owner& upstream, cw_boot_time now, commands& out);
    void claim(cw_boot_time now, commands& out);
    void order_range(std::size_t place, cw_boot_time now, commands& out);
    /// Asks upstreams that were given up whether they answer again.
    void probe_silent(cw_boot_time now, commands& out);
    /// True when nobody but the owner can hold the range.
    bool free_holders(std::size_t place, cw_boot_time now, commands& out);
    [[nodiscard]] bool can_hold(const cw_key_range& range, const cw_key_holder& who,
                                cw_boot_time now) const;
    void send(cw_key_order order, commands& out);
    void plan(cw_boot_time now, commands& out);
    void write(cw_key_table table, commands& out);
    void resign(cw_boot_time now, commands& out);
    void read(cw_boot_time now, commands& out);
    void on_grant_ended(const cw_key_order& order, const cw_order_ended& event, cw_boot_time now);
    void on_release_ended(const cw_key_order& order, const cw_order_ended& event);
    /// Takes a holder's own word that it has released its keys.
    void on_released(cw_key_holder& who, const cw_order_ended& event) const;
    /// Shows moving ranges that are confirmed as settled, unless a write is under way.
    void settle(cw_boot_time now);
    void check_predecessors(cw_boot_time now);
    /// True when an owner can no longer be granted anything: its id lives on in a later life, or
    /// another upstream is at its address.
    [[nodiscard]] bool has_ended(const cw_key_owner& owner) const;
    [[nodiscard]] std::vector<cw_key_candidate> candidates(cw_boot_time now) const;
    /// Gives a range whose owner has seen a higher fence one above that.
    void raise_fence(cw_key_table& table);
    void note(std::string what, std::string subject, std::string detail);

    std::string service_;
    cw_steward_id self_;
    cw_steward_options options_;
    cw_steward_suspicion suspicion_;
    cw_order_book orders_;
    cw_predecessors predecessors_;
    bool is_started_ = false;
    bool is_reader_ = true;

    cw_key_table table_;
    std::uint64_t revision_ = 0;
    /// True while the store's copy is known as of the last call.
    bool is_read_ = false;
    /// What this host knows of the table's ranges, in their order.
    std::vector<cw_range_state> states_{cw_range_state{}};
    std::map<std::string, cw_upstream_entry> upstreams_;
    std::size_t most_upstreams_ = 0;
    /// When there were more upstreams than ever before.
    cw_boot_time upstreams_grew_{};

    bool store_busy_ = false;
    bool writing_ = false;
    cw_boot_time next_store_call_{};
    /// When the last call was sent by which the store confirmed that this host is the steward.
    cw_boot_time confirmed_{};
    bool stopping_ = false;
    /// Since when the store's copy lacks what has settled; the clock's beginning for no such time.
    cw_boot_time unsaved_since_{};

    bool beat_busy_ = false;
    cw_boot_time next_beat_{};
    std::uint64_t beat_ = 0;

    cw_key_balancer balance_;
    cw_upstream_speeds speeds_;
    /// When this host took over.
    cw_boot_time leads_since_{};
    std::vector<cw_timeline_event> events_;
};
