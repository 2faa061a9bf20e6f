#include "cw_reader_ranking.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <xxhash.h>

namespace {

struct candidate {
    double strength;
    bool is_named;
    std::uint64_t draw;
    const std::string* address;
};

bool goes_before(const candidate& left, const candidate& right) {
    return std::tie(left.strength, left.is_named, left.draw) >
           std::tie(right.strength, right.is_named, right.draw);
}

bool is_named_in(const cw_reader_orders& orders, const cw_host_info& place) {
    const auto order = orders.find(place.domain);
    return order != orders.end() && std::find(order->second.begin(), order->second.end(),
                                              place.address) != order->second.end();
}

} // namespace

cw_reader_orders cw_rank_readers(const cw_host_places& hosts, const cw_reader_orders& previous) {
    std::map<std::string, std::vector<candidate>> domains;
    for (const auto& [name, place] : hosts) {
        if (!place.domain.empty()) {
            domains[place.domain].push_back({place.cpu_capacity, is_named_in(previous, place),
                                             XXH3_64bits(name.data(), name.size()),
                                             &place.address});
        }
    }
    cw_reader_orders orders;
    for (auto& [domain, candidates] : domains) {
        std::sort(candidates.begin(), candidates.end(), goes_before);
        candidates.resize(std::min(candidates.size(), cw_readers_each_domain));
        for (const auto& chosen : candidates) {
            orders[domain].push_back(*chosen.address);
        }
    }
    return orders;
}
