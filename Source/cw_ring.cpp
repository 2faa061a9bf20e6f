#include "cw_ring.h"

#include <algorithm>
#include <nlohmann/json.hpp>

bool cw_ring::has(const cw_ring_member& member) const {
    return std::find(members.begin(), members.end(), member) != members.end();
}

void cw_ring::add(const cw_ring_member& member) {
    std::erase_if(members, [&](const cw_ring_member& other) { return other.host == member.host; });
    members.push_back(member);
    std::sort(members.begin(), members.end());
    since[member.host] = epoch;
}

void cw_ring::remove(const cw_ring_member& member) {
    std::erase(members, member);
    since.erase(member.host);
}

std::string cw_ring::to_json() const {
    auto list = nlohmann::json::array();
    for (const auto& member : members) {
        list.push_back({member.host, member.incarnation});
    }
    return nlohmann::json{{"domain", domain},     {"epoch", epoch},
                          {"since", since},       {"deputies_since", deputies_since},
                          {"members", list},      {"deputies", deputies},
                          {"released", released}, {"writer", writer}}
        .dump();
}

cw_result<cw_ring> cw_ring::parse(std::string_view text) {
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    try {
        cw_ring ring;
        ring.domain = parsed.at("domain").get<std::string>();
        for (const auto& item : parsed.at("members")) {
            ring.members.push_back(
                {item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>()});
        }
        ring.epoch = parsed.at("epoch").get<std::uint64_t>();
        ring.since = parsed.at("since").get<std::map<std::string, std::uint64_t>>();
        ring.deputies_since = parsed.at("deputies_since").get<std::uint64_t>();
        ring.deputies = parsed.at("deputies").get<std::vector<std::string>>();
        ring.released = parsed.at("released").get<std::map<std::string, std::uint64_t>>();
        ring.writer = parsed.at("writer").get<std::string>();
        return ring;
    } catch (const std::exception& failure) {
        return tl::unexpected(cw_error{"parse ring", "store", failure.what()});
    }
}
