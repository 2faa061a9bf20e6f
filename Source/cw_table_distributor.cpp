#include "cw_table_distributor.h"

#include "cw_keeper_context.h"

#include <limits>

namespace {

using namespace std::chrono_literals;

/// Time within which an offered table usually arrives from the store.
constexpr auto store_read_delay = 30ms;
/// Delay before the fetch of a table is repeated.
constexpr auto fetch_retry = 100ms;
/// Number of keepers in each other domain to which a table is offered.
constexpr std::size_t offers_per_domain = 2;

} // namespace

bool cw_table_distributor::is_own_write(const cw_slice_table& table) const {
    const auto& self = context_.self();
    return table.writer().starts_with(self.host + "." + std::to_string(self.incarnation) + ".");
}

bool cw_table_distributor::has_table(const std::string& service,
                                     std::uint64_t store_version) const {
    const auto* stored = context_.table(service);
    return stored != nullptr && stored->store_version >= store_version;
}

void cw_table_distributor::offer_to(const std::string& domain, std::size_t max_offers,
                                    const cw_table_offer_message& offer) {
    std::size_t offered = 0;
    for (const auto& host : context_.entry_hosts(domain)) {
        if (host != context_.self().host && offered < max_offers) {
            context_.send(host, offer);
            ++offered;
        }
    }
}

void cw_table_distributor::on_table(const cw_slice_table& table, std::uint64_t store_version,
                                    bool from_peer) {
    const cw_table_offer_message offer{table.service(), store_version};
    if (from_peer) {
        context_.record_event("table-from-peer", table.service(),
                              "epoch " + std::to_string(table.epoch()));
        offer_to(context_.domain(), std::numeric_limits<std::size_t>::max(), offer);
        return;
    }
    const auto* own_domain =
        context_.config() == nullptr ? nullptr : context_.config()->domain(context_.domain());
    if (own_domain == nullptr || !is_own_write(table)) {
        return;
    }
    for (const auto& domain : context_.config()->domains) {
        if (domain.firm == own_domain->firm && domain.name != own_domain->name) {
            offer_to(domain.name, offers_per_domain, offer);
        }
    }
}

void cw_table_distributor::on_offer(const std::string& from, const cw_table_offer_message& offer,
                                    cw_time_point now) {
    if (has_table(offer.service, offer.store_version)) {
        return;
    }
    auto& pending = offers_[offer.service];
    if (offer.store_version > pending.store_version) {
        pending = {from, offer.store_version, now + store_read_delay};
    }
}

void cw_table_distributor::on_tick(cw_time_point now) {
    for (auto entry = offers_.begin(); entry != offers_.end();) {
        auto& [service, pending] = *entry;
        if (has_table(service, pending.store_version)) {
            entry = offers_.erase(entry);
            continue;
        }
        if (now >= pending.due_at) {
            pending.due_at = now + fetch_retry;
            context_.emit(cw_fetch_table_command{pending.from, service});
        }
        ++entry;
    }
}
