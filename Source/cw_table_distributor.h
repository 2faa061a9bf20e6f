#pragma once

#include "cw_peer_message.h"
#include "cw_time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

class cw_keeper_context;
class cw_slice_table;

/// Distributes slice tables to failure domains that cannot reach the store.
///
/// The keeper whose write changed a table offers it to some keepers of each other domain of its
/// organization. If such a keeper has not read the table from the store 30 ms later, it fetches the
/// table from the offering keeper and offers it within its own domain. A fetched table carries its
/// version in the store, so an older copy never replaces a newer one. Each change of a table costs
/// at most a few messages per domain.
class cw_table_distributor {
public:
    explicit cw_table_distributor(cw_keeper_context& context)
        : context_{context} {}

    /// Handles a table, newer than all earlier ones, that was read from the store or fetched from a
    /// peer.
    void on_table(const cw_slice_table& table, std::uint64_t store_version, bool from_peer);
    void on_offer(const std::string& from, const cw_table_offer_message& offer, cw_time_point now);
    /// Fetches offered tables that have not been read from the store in the meantime.
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
        cw_time_point due_at;
    };

    cw_keeper_context& context_;
    /// The newest offer of each service.
    std::map<std::string, pending_offer> offers_;
};
