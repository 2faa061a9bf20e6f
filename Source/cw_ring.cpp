#include "cw_ring.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace {

nlohmann::json members_to_json(const std::vector<cw_ring_member>& members) {
    auto list = nlohmann::json::array();
    for (const auto& member : members) {
        list.push_back({member.host, member.incarnation});
    }
    return list;
}

std::vector<cw_ring_member> members_from_json(const nlohmann::json& list) {
    std::vector<cw_ring_member> members;
    for (const auto& item : list) {
        members.push_back({item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>()});
    }
    return members;
}

} // namespace

bool cw_ring::has_member(const cw_ring_member& member) const {
    return std::find(members.begin(), members.end(), member) != members.end();
}

bool cw_ring::is_deputy(const cw_ring_member& member) const {
    return std::find(deputies.begin(), deputies.end(), member) != deputies.end();
}

void cw_ring::add(const cw_ring_member& member) {
    std::erase_if(members, [&](const cw_ring_member& other) { return other.host == member.host; });
    members.push_back(member);
    std::sort(members.begin(), members.end());
    joined_epochs[member.host] = epoch;
}

void cw_ring::remove(const cw_ring_member& member) {
    std::erase(members, member);
    joined_epochs.erase(member.host);
}

std::string cw_ring::to_json() const {
    return nlohmann::json{{"domain", domain},
                          {"epoch", epoch},
                          {"since", joined_epochs},
                          {"deputies_since", deputies_epoch},
                          {"members", members_to_json(members)},
                          {"deputies", members_to_json(deputies)},
                          {"released", released},
                          {"writer", writer}}
        .dump();
}

cw_result<cw_ring> cw_ring::parse(std::string_view text) {
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    try {
        cw_ring ring;
        ring.domain = parsed.at("domain").get<std::string>();
        ring.members = members_from_json(parsed.at("members"));
        ring.epoch = parsed.at("epoch").get<std::uint64_t>();
        ring.joined_epochs = parsed.at("since").get<std::map<std::string, std::uint64_t>>();
        ring.deputies_epoch = parsed.at("deputies_since").get<std::uint64_t>();
        ring.deputies = members_from_json(parsed.at("deputies"));
        ring.released = parsed.at("released").get<std::map<std::string, std::uint64_t>>();
        ring.writer = parsed.at("writer").get<std::string>();
        return ring;
    } catch (const std::exception& failure) {
        return tl::unexpected(cw_error{"parse ring", "store", failure.what()});
    }
}
