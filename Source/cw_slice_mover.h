#pragma once

#include "cw_hold_round.h"
#include "cw_keeper_command.h"
#include "cw_keeper_event.h"
#include "cw_slice_move.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

class cw_keeper_context;
class cw_lease_keeper;
class cw_membership;

/// Planned moves: an upstream that answers gives slices up, then the table is written.
///
/// The upstream confirms the smaller set of slices under a fence above every earlier one, so grants
/// of other keepers by the old table are refused. An upstream that does not check fences would obey
/// them; for such a one all other members confirm a hold first.
class cw_slice_mover {
public:
    cw_slice_mover(cw_keeper_context& context, cw_membership& membership, cw_lease_keeper& leases);

    /// Begins a hand-over of slices that the upstream owns. One runs at a time per upstream. False
    /// when it cannot begin now: one runs already, or the store has yet to show that it answers.
    bool start_handover(const std::string& upstream, std::vector<cw_slice_move> moves,
                        cw_time_point now);
    void on_tick(cw_time_point now);
    void on_reply(const cw_lease_reply& reply, cw_time_point now);
    void on_hold_ack(const cw_ring_member& from, const cw_hold_ack_message& ack, cw_time_point now);
    void on_write(const cw_write_event& event);

    [[nodiscard]] bool is_moving(const std::string& upstream) const {
        return handovers_.contains(upstream);
    }
    [[nodiscard]] bool is_idle(const std::string& service) const;

private:
    enum class handover_stage { claiming, holding, revoking, writing };

    struct handover {
        std::string service;
        std::vector<cw_slice_move> moves;
        handover_stage stage = handover_stage::claiming;
        cw_hold_round holds;
        /// Epoch of the table on which the next write is conditional.
        std::uint64_t base_epoch = 0;
        /// The claimed epoch, under which the smaller set of slices is granted.
        std::uint64_t fence = 0;
        /// Fence of the upstream in the table when the claim was made.
        std::uint64_t fence_at_claim = 0;
        std::uint64_t store_version = 0;
        cw_time_point deadline;
        std::optional<cw_write_command> write;
        cw_time_point resend_at{};
    };

    void claim_epoch(handover& current, cw_time_point now);
    /// Goes on with the same claim above a table that others have written meanwhile.
    void rebase(const std::string& upstream, handover& current, cw_time_point now);
    void begin_revocation(const std::string& upstream, handover& current, cw_time_point now);
    void collect_holds(const std::string& upstream, handover& current, cw_time_point now);
    void revoke(const std::string& upstream, handover& current);
    void write_table(const std::string& upstream, handover& current, cw_time_point now);
    [[nodiscard]] bool finish_or_continue(const std::string& upstream, handover& current,
                                          cw_time_point now);
    void abandon(const std::string& upstream, const handover& current);

    cw_keeper_context& context_;
    cw_membership& membership_;
    cw_lease_keeper& leases_;
    std::map<std::string, handover> handovers_;
};
