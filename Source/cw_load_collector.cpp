#include "cw_load_collector.h"

#include <algorithm>

void cw_load_collector::on_report(const std::vector<cw_shared_load>& loads, cw_boot_time now) {
    expire(now);
    for (const auto& load : loads) {
        const auto age = std::max(load.age, std::chrono::milliseconds{0});
        if (age > max_age || load.slots == 0) {
            continue;
        }
        const auto known = loads_.find(load.id);
        if (known == loads_.end() && loads_.size() >= max_upstreams) {
            continue;
        }
        const auto stated_at = now - age;
        if (known == loads_.end() || known->second.stated_at < stated_at) {
            loads_.insert_or_assign(load.id, known_load{load, stated_at});
        }
    }
}

std::vector<cw_shared_load> cw_load_collector::full_upstreams(cw_boot_time now) {
    expire(now);
    std::vector<cw_shared_load> full;
    for (const auto& [id, known] : loads_) {
        if (known.load.is_full()) {
            full.push_back(known.load);
            full.back().age =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - known.stated_at);
        }
    }
    const auto relative_load = [](const cw_shared_load& load) {
        return static_cast<double>(load.requests) / load.slots;
    };
    std::stable_sort(full.begin(), full.end(), [&](const auto& left, const auto& right) {
        return relative_load(left) > relative_load(right);
    });
    full.resize(std::min(full.size(), max_named));
    return full;
}

void cw_load_collector::expire(cw_boot_time now) {
    std::erase_if(loads_, [&](const auto& item) { return now > item.second.stated_at + max_age; });
}
