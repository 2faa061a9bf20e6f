#include "cw_steward_reply.h"

#include "cw_shared_load_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace {
constexpr const char* full_table_member = "table";
constexpr const char* table_changes_member = "changes";
constexpr const char* full_crashes_member = "crashes";
constexpr const char* crash_changes_member = "crash_changes";
/// True if the second line is a full table.
constexpr const char* full_line_member = "full_table";
/// JSON that was written by dump() has no line ends.
constexpr char line_end = '\n';
constexpr const char* read_step = "parse steward reply";

nlohmann::json number_or_null(const std::optional<double>& value) {
    return value ? nlohmann::json(*value) : nlohmann::json(nullptr);
}

std::optional<double> read_number_or_null(const nlohmann::json& value) {
    return value.is_null() ? std::nullopt : std::optional{value.get<double>()};
}

/// Throws nlohmann::json::exception if a member is missing or has the wrong type.
cw_limit_share parse_share(const nlohmann::json& item) {
    cw_limit_share share;
    share.id = item.at(0).get<std::string>();
    share.incarnation = item.at(1).get<std::uint64_t>();
    share.limit = read_number_or_null(item.at(2));
    share.age = std::chrono::milliseconds{item.at(3).get<std::int64_t>()};
    share.admitted = read_number_or_null(item.at(4));
    return share;
}

nlohmann::json without_table(const cw_steward_reply& reply) {
    nlohmann::json value{{"hosts", reply.hosts}};
    if (reply.requests_successor) {
        value["seeks_successor"] = true;
    }
    if (reply.crashes) {
        value[reply.is_full_crashes ? full_crashes_member : crash_changes_member] = *reply.crashes;
    }
    if (!reply.readers.empty()) {
        value["readers"] = reply.readers;
    }
    if (reply.limit_hosts != 0) {
        value["limit_hosts"] = reply.limit_hosts;
    }
    for (const auto& share : reply.limits) {
        value["limits"].push_back({share.id, share.incarnation, number_or_null(share.limit),
                                   share.age.count(), number_or_null(share.admitted)});
    }
    if (!reply.full_upstreams.empty()) {
        value["full_upstreams"] = cw_shared_loads_to_json(reply.full_upstreams);
    }
    return value;
}

/// Reads the table or its changes, from the second line or from a member of the first.
void read_table(const nlohmann::json& value, std::string_view second_line,
                cw_steward_reply& reply) {
    if (!second_line.empty()) {
        reply.is_full_table = value.at(full_line_member).get<bool>();
        reply.table = second_line;
        return;
    }
    reply.is_full_table = value.contains(full_table_member);
    const auto* member = reply.is_full_table ? full_table_member : table_changes_member;
    if (value.contains(member)) {
        reply.table = value.at(member).dump();
    }
}
} // namespace

std::string cw_steward_reply::to_json() const {
    auto value = without_table(*this);
    if (!table.empty()) {
        value[is_full_table ? full_table_member : table_changes_member] =
            nlohmann::json::parse(table);
    }
    return value.dump();
}

std::string cw_steward_reply::to_lines() const {
    auto value = without_table(*this);
    if (table.empty()) {
        return value.dump();
    }
    value[full_line_member] = is_full_table;
    return value.dump() + line_end + table;
}

cw_result<cw_steward_reply> cw_steward_reply::parse(std::string_view text) {
    cw_steward_reply reply;
    try {
        const auto line_length = std::min(text.find(line_end), text.size());
        const auto value = nlohmann::json::parse(text.substr(0, line_length));
        if (value.contains("hosts") && !value.at("hosts").is_number_unsigned()) {
            return tl::unexpected(cw_error{read_step, "", "hosts is not an unsigned integer"});
        }
        reply.hosts = value.value("hosts", 1U);
        reply.requests_successor = value.value("seeks_successor", false);
        read_table(value, text.substr(std::min(line_length + 1, text.size())), reply);
        reply.is_full_crashes = value.contains(full_crashes_member);
        const auto* crashes_member =
            reply.is_full_crashes ? full_crashes_member : crash_changes_member;
        if (value.contains(crashes_member)) {
            reply.crashes = value.at(crashes_member).get<cw_crash_counts>();
        }
        reply.readers = value.value("readers", std::vector<std::string>{});
        reply.limit_hosts = value.value("limit_hosts", 0U);
        for (const auto& item : value.value("limits", nlohmann::json::array())) {
            reply.limits.push_back(parse_share(item));
        }
        reply.full_upstreams =
            cw_shared_loads_from_json(value.value("full_upstreams", nlohmann::json::array()));
    } catch (const nlohmann::json::exception& failure) {
        return tl::unexpected(cw_error{read_step, "", failure.what()});
    }
    return reply;
}

cw_result<cw_key_table> cw_steward_reply::latest_table(cw_key_table known) const {
    if (table.empty()) {
        return known;
    }
    if (is_full_table) {
        return cw_key_table::parse(table);
    }
    auto changes = cw_key_table::parse_changes(table);
    return changes ? known.with_changes(std::move(*changes)) : changes;
}
