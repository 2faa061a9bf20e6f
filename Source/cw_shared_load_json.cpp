#include "cw_shared_load_json.h"

#include <algorithm>
#include <cstdint>

nlohmann::json cw_shared_loads_to_json(const std::vector<cw_shared_load>& loads) {
    auto list = nlohmann::json::array();
    for (const auto& load : loads) {
        list.push_back({load.id, load.requests, load.slots, load.age.count()});
    }
    return list;
}

namespace {
/// Older loads say nothing; the bound keeps times within their type's range.
constexpr std::int64_t max_age_ms = 3'600'000;
} // namespace

std::vector<cw_shared_load> cw_shared_loads_from_json(const nlohmann::json& value) {
    std::vector<cw_shared_load> loads;
    for (const auto& item : value) {
        const auto age_ms = std::clamp<std::int64_t>(item.at(3).get<std::int64_t>(), 0, max_age_ms);
        loads.push_back({item.at(0).get<std::string>(), item.at(1).get<std::uint32_t>(),
                         item.at(2).get<std::uint32_t>(), std::chrono::milliseconds{age_ms}});
    }
    return loads;
}
