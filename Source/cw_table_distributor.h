#pragma once

#include "cw_peer_message.h"
#include "cw_time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

class cw_keeper_context;
class cw_slice_table;

/// Makes slice tables known to failure domains that the store does not answer.
///
/// The keeper whose write changed a table offers it to some keepers of each other domain of its
/// firm. One that has not read the table from the store a little later fetches it from there, and
/// offers it within its own domain. What a keeper fetches is a copy of what the store holds, with
/// the store's version, so an older copy is never taken. The load that it answers: at most a few
/// messages a domain for each change of a table.
class cw_table_distributor {
public:
    explicit cw_table_distributor(cw_keeper_context& context)
        : context_{context} {}

    /// A table newer than all before was read from the store, or fetched from a peer.
    void on_table(const cw_slice_table& table, std::uint64_t store_version, bool from_peer);
    void on_offer(const std::string& from, const cw_table_offer_message& offer, cw_time_point now);
    /// Fetches what was offered and has not come from the store meanwhile.
    void on_tick(cw_time_point now);

private:
    /// True when this process wrote the table.
    [[nodiscard]] bool is_own_write(const cw_slice_table& table) const;
    [[nodiscard]] bool has_table(const std::string& service, std::uint64_t store_version) const;
    void offer_to(const std::string& domain, std::size_t max_offers,
                  const cw_table_offer_message& offer);

    struct pending_offer {
        std::string from;
        std::uint64_t store_version = 0;
        cw_time_point due;
    };

    cw_keeper_context& context_;
    /// The newest offer of each service.
    std::map<std::string, pending_offer> offers_;
};
