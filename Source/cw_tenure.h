#pragma once

#include "cw_ring_member.h"
#include "cw_time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The time for which a keeper may grant leases, as confirmed by the store or by all peers that may
/// remove it.
///
/// A promise is valid for one process only. A later incarnation of the same host does not know
/// which writes the earlier one has started, so its promise does not count until the ring record
/// lists it. Both kinds of confirmation count from the time of the request, so a delayed reply
/// never extends a tenure.
class cw_tenure {
public:
    explicit cw_tenure(std::chrono::milliseconds length)
        : length_{length} {}

    /// Records that a promise was requested from a peer; the reply is matched by the sequence
    /// number.
    void on_request_sent(const cw_ring_member& peer, std::uint64_t sequence, cw_time_point now);
    void on_promise(const cw_ring_member& peer, std::uint64_t sequence);
    /// Records that a ring record that lists this keeper was read; `sent` is when the read was
    /// sent.
    void on_store_confirmation(cw_time_point sent);
    /// Discards all confirmations because a ring record without this keeper was read.
    void on_removal();

    /// End of the tenure if the given peers may remove this keeper; nullopt if there are no peers,
    /// since the tenure then does not expire.
    [[nodiscard]] std::optional<cw_time_point>
    expiry(const std::vector<cw_ring_member>& peers) const;
    /// True if the tenure has not expired at `now`; always true without peers.
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
