#include "cw_upstream_delta.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

json entry_to_json(const cw_upstream_entry& entry, cw_boot_time now) {
    const auto warm_in = std::chrono::ceil<milliseconds>(entry.warm_at - now).count();
    // An array without member names keeps the text short: a host that starts receives hundreds of
    // entries.
    return {entry.id,
            entry.service,
            entry.address,
            entry.domain,
            entry.slots,
            entry.leaving,
            std::max<std::int64_t>(warm_in, 0),
            entry.incarnation,
            entry.sequence};
}

cw_upstream_entry entry_from_json(const json& value, cw_boot_time now) {
    cw_upstream_entry entry;
    entry.id = value.at(0).get<std::string>();
    entry.service = value.at(1).get<std::string>();
    entry.address = value.at(2).get<std::string>();
    entry.domain = value.at(3).get<std::string>();
    entry.slots = value.at(4).get<std::uint32_t>();
    entry.leaving = value.at(5).get<bool>();
    const milliseconds warm_in{value.at(6).get<std::int64_t>()};
    entry.warm_at = warm_in.count() > 0 ? now + warm_in : cw_boot_time{};
    entry.incarnation = value.at(7).get<std::uint64_t>();
    // Hosts that run an earlier release do not send the sequence.
    entry.sequence = value.size() > 8 ? value.at(8).get<std::uint64_t>() : 0;
    return entry;
}

} // namespace

json cw_delta_to_json(const cw_upstream_delta& delta, cw_boot_time now) {
    auto written = json::array();
    for (const auto& entry : delta.written) {
        written.push_back(entry_to_json(entry, now));
    }
    json value{{"era", delta.position.era},
               {"revision", delta.position.revision},
               {"written", written},
               {"removed", delta.removed}};
    if (delta.is_full) {
        value["whole"] = true;
    }
    for (const auto& [id, stamp] : delta.removed_stamps) {
        value["removed_as"][id] = {stamp.incarnation, stamp.sequence};
    }
    return value;
}

cw_result<cw_upstream_delta> cw_delta_from_json(const json& value, cw_boot_time now) {
    cw_upstream_delta delta;
    try {
        // Hosts that run an earlier release do not send the era.
        delta.position = {value.value("era", std::uint64_t{0}),
                          value.at("revision").get<std::uint64_t>()};
        delta.is_full = value.value("whole", false);
        for (const auto& item : value.at("written")) {
            delta.written.push_back(entry_from_json(item, now));
        }
        delta.removed = value.at("removed").get<std::vector<std::string>>();
        const auto stamps = value.value("removed_as", json::object());
        for (const auto& [id, stamp] : stamps.items()) {
            delta.removed_stamps[id] = {stamp.at(0).get<std::uint64_t>(),
                                        stamp.at(1).get<std::uint64_t>()};
        }
    } catch (const json::exception& failure) {
        return tl::unexpected(cw_error{"parse upstream changes", "", failure.what()});
    }
    return delta;
}
