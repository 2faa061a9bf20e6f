#include "cw_reader_ranking.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <xxhash.h>

namespace {

struct candidate {
    double cpu_capacity;
    bool is_current;
    std::uint64_t tie_breaker;
    const cw_host_info* info;
};

bool is_store_suspected(const candidate& host) {
    return host.info->is_store_suspected;
}

bool is_ranked_before(const candidate& left, const candidate& right) {
    return std::tie(left.cpu_capacity, left.is_current, left.tie_breaker) >
           std::tie(right.cpu_capacity, right.is_current, right.tie_breaker);
}

bool is_current_reader(const cw_readers_by_domain& rankings, const cw_host_info& host_info) {
    const auto current = rankings.find(host_info.domain);
    return current != rankings.end() && std::find(current->second.begin(), current->second.end(),
                                                  host_info.address) != current->second.end();
}

} // namespace

cw_readers_by_domain cw_rank_readers(const cw_hosts_by_name& hosts,
                                     const cw_readers_by_domain& previous) {
    std::map<std::string, std::vector<candidate>> domains;
    for (const auto& [name, host_info] : hosts) {
        if (!host_info.domain.empty()) {
            domains[host_info.domain].push_back(
                {host_info.cpu_capacity, is_current_reader(previous, host_info),
                 XXH3_64bits(name.data(), name.size()), &host_info});
        }
    }
    cw_readers_by_domain rankings;
    for (auto& [domain, candidates] : domains) {
        std::sort(candidates.begin(), candidates.end(), is_ranked_before);
        const auto count = std::min(candidates.size(), cw_max_readers_per_domain);
        const auto last = candidates.begin() + static_cast<std::ptrdiff_t>(count);
        if (std::all_of(candidates.begin(), last, is_store_suspected)) {
            std::stable_partition(candidates.begin(), candidates.end(),
                                  [](const auto& host) { return !is_store_suspected(host); });
        }
        for (auto reader = candidates.begin(); reader != last; ++reader) {
            rankings[domain].push_back(reader->info->address);
        }
    }
    return rankings;
}
