#pragma once

#include "cw_ring_member.h"
#include "cw_time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// A keeper's right to grant leases, confirmed by the store or by all peers that may supersede it.
///
/// A promise binds one process only: a later incarnation of the same host does not know what the
/// earlier one has begun, so its promise stands for nothing until the record names it. Both kinds
/// of confirmation count from the moment they were asked for, so a delayed reply never lengthens a
/// tenure.
class cw_tenure {
public:
    explicit cw_tenure(std::chrono::milliseconds length)
        : length_{length} {}

    /// Notes that an ask was sent to a peer; a later promise is matched by the sequence.
    void on_request_sent(const cw_ring_member& peer, std::uint64_t sequence, cw_time_point now);
    void on_promise(const cw_ring_member& peer, std::uint64_t sequence);
    /// The store showed this keeper as a member, by a read sent at the given time.
    void on_store_confirmation(cw_time_point sent);
    /// A ring record without this keeper was read; nothing earlier counts any more.
    void on_removal();

    /// End of the tenure if all the peers named may supersede this keeper; nullopt for no end.
    [[nodiscard]] std::optional<cw_time_point>
    expiry(const std::vector<cw_ring_member>& peers) const;
    [[nodiscard]] bool is_valid(const std::vector<cw_ring_member>& peers, cw_time_point now) const;

private:
    struct request {
        cw_ring_member peer;
        cw_time_point sent;
    };

    std::chrono::milliseconds length_;
    std::map<std::uint64_t, request> requests_;
    std::map<cw_ring_member, cw_time_point> promises_;
    std::optional<cw_time_point> store_end_;
};
