#pragma once

#include "cw_time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// A keeper's right to grant leases, confirmed by the store or by all peers that may supersede it.
///
/// Both kinds of confirmation count from the moment they were asked for, so a delayed reply never
/// lengthens a tenure.
class cw_tenure {
public:
    explicit cw_tenure(std::chrono::milliseconds length) : length_{length} {}

    /// Notes that an ask was sent to a peer; a later promise is matched by the sequence.
    void on_ask_sent(const std::string& peer, std::uint64_t sequence, cw_time_point now);
    void on_promise(const std::string& peer, std::uint64_t sequence);
    /// The store showed this keeper as a member, by a read sent at the given time.
    void on_store_confirmation(cw_time_point sent);
    /// A ring record without this keeper was read; nothing earlier counts any more.
    void on_removal();
    /// A peer's promises are void because another process now bears its name.
    void forget_peer(const std::string& peer) { promises_.erase(peer); }

    /// End of the tenure if all the peers named may supersede this keeper; nullopt for no end.
    [[nodiscard]] std::optional<cw_time_point> end(const std::vector<std::string>& peers) const;
    [[nodiscard]] bool holds(const std::vector<std::string>& peers, cw_time_point now) const;

private:
    struct ask {
        std::string peer;
        cw_time_point sent;
    };

    std::chrono::milliseconds length_;
    std::map<std::uint64_t, ask> asks_;
    std::map<std::string, cw_time_point> promises_;
    std::optional<cw_time_point> store_end_;
};
