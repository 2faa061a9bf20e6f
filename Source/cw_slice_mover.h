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

/// Executes planned moves of slices (hand-overs) from upstreams that respond: the upstream is
/// granted a smaller set of slices, and once it has confirmed that, the new table is written.
///
/// The smaller set is granted under a fence above every earlier one, so the upstream refuses grants
/// that other keepers make from the old table. An upstream that does not check fences would accept
/// them; before such an upstream's slices are revoked, all other members must confirm a hold.
class cw_slice_mover {
public:
    cw_slice_mover(cw_keeper_context& context, cw_membership& membership, cw_lease_keeper& leases);

    /// Starts a hand-over of slices that the upstream owns, at most one at a time per upstream.
    /// False if it cannot start now: there are no moves, one is running, this keeper may not grant,
    /// or the store has not yet been confirmed to respond.
    bool start_handover(const std::string& upstream, std::vector<cw_slice_move> moves,
                        cw_time_point now);
    void on_tick(cw_time_point now);
    void on_reply(const cw_lease_reply& reply, cw_time_point now);
    void on_hold_ack(const cw_ring_member& from, const cw_hold_ack_message& ack, cw_time_point now);
    void on_write(const cw_write_event& event);

    /// True while a hand-over of the upstream's slices is running.
    [[nodiscard]] bool is_moving(const std::string& upstream) const {
        return handovers_.contains(upstream);
    }
    /// True if no hand-over of the service is running.
    [[nodiscard]] bool is_idle(const std::string& service) const;

private:
    enum class handover_stage { claiming, holding, revoking, writing };

    struct handover {
        std::string service;
        std::vector<cw_slice_move> moves;
        handover_stage stage = handover_stage::claiming;
        cw_hold_round holds;
        /// Epoch of the table that the next write must replace.
        std::uint64_t base_epoch = 0;
        /// The claimed epoch, which is the fence of the smaller set of slices.
        std::uint64_t fence = 0;
        /// Fence of the upstream in the table that the claim produced.
        std::uint64_t fence_at_claim = 0;
        std::uint64_t store_version = 0;
        cw_time_point deadline;
        std::optional<cw_write_command> write;
        cw_time_point resend_at{};
    };

    /// Writes an unchanged table with a new epoch, which becomes the fence of the revocation.
    void claim_epoch(handover& current, cw_time_point now);
    /// Continues with the table that another keeper has written meanwhile, under the same claim
    /// where that is safe.
    void rebase(const std::string& upstream, handover& current, cw_time_point now);
    /// Collects holds first if the upstream does not check fences, else revokes at once.
    void begin_revocation(const std::string& upstream, handover& current, cw_time_point now);
    void collect_holds(const std::string& upstream, handover& current, cw_time_point now);
    /// Grants the upstream its slices without those to be moved, under the claimed epoch.
    void revoke(const std::string& upstream, handover& current);
    void write_table(const std::string& upstream, handover& current, cw_time_point now);
    /// Reacts to a newer table or the deadline. True if the hand-over has ended.
    [[nodiscard]] bool finish_or_continue(const std::string& upstream, handover& current,
                                          cw_time_point now);
    void abandon(const std::string& upstream, const handover& current);

    cw_keeper_context& context_;
    cw_membership& membership_;
    cw_lease_keeper& leases_;
    std::map<std::string, handover> handovers_;
};
