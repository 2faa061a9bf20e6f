#include "cw_steward_reply.h"

#include <nlohmann/json.hpp>

namespace {
constexpr const char* full_table_member = "table";
constexpr const char* table_changes_member = "changes";
constexpr const char* full_crashes_member = "crashes";
constexpr const char* crash_changes_member = "crash_changes";
constexpr const char* read_step = "parse steward reply";
} // namespace

std::string cw_steward_reply::to_json() const {
    nlohmann::json value{{"hosts", hosts}};
    if (requests_successor) {
        value["seeks_successor"] = true;
    }
    if (!table.empty()) {
        value[is_full_table ? full_table_member : table_changes_member] =
            nlohmann::json::parse(table);
    }
    if (crashes) {
        value[is_full_crashes ? full_crashes_member : crash_changes_member] = *crashes;
    }
    if (!readers.empty()) {
        value["readers"] = readers;
    }
    return value.dump();
}

cw_result<cw_steward_reply> cw_steward_reply::parse(std::string_view text) {
    cw_steward_reply reply;
    try {
        const auto value = nlohmann::json::parse(text);
        if (value.contains("hosts") && !value.at("hosts").is_number_unsigned()) {
            return tl::unexpected(cw_error{read_step, "", "hosts is not an unsigned integer"});
        }
        reply.hosts = value.value("hosts", 1U);
        reply.requests_successor = value.value("seeks_successor", false);
        reply.is_full_table = value.contains(full_table_member);
        const auto* table_member = reply.is_full_table ? full_table_member : table_changes_member;
        if (value.contains(table_member)) {
            reply.table = value.at(table_member).dump();
        }
        reply.is_full_crashes = value.contains(full_crashes_member);
        const auto* crashes_member =
            reply.is_full_crashes ? full_crashes_member : crash_changes_member;
        if (value.contains(crashes_member)) {
            reply.crashes = value.at(crashes_member).get<cw_crash_counts>();
        }
        reply.readers = value.value("readers", std::vector<std::string>{});
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
