#include "cw_steward_reply.h"

#include <nlohmann/json.hpp>

namespace {
constexpr const char* whole_member = "table";
constexpr const char* changes_member = "changes";
constexpr const char* whole_crashes_member = "crashes";
constexpr const char* crash_changes_member = "crash_changes";
constexpr const char* read_step = "parse steward reply";
} // namespace

std::string cw_steward_reply::to_text() const {
    nlohmann::json value{{"hosts", hosts}};
    if (requests_successor) {
        value["seeks_successor"] = true;
    }
    if (!table.empty()) {
        value[is_whole_table ? whole_member : changes_member] = nlohmann::json::parse(table);
    }
    if (crashes) {
        value[is_whole_crashes ? whole_crashes_member : crash_changes_member] = *crashes;
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
        reply.is_whole_table = value.contains(whole_member);
        const auto* member = reply.is_whole_table ? whole_member : changes_member;
        if (value.contains(member)) {
            reply.table = value.at(member).dump();
        }
        reply.is_whole_crashes = value.contains(whole_crashes_member);
        const auto* marks = reply.is_whole_crashes ? whole_crashes_member : crash_changes_member;
        if (value.contains(marks)) {
            reply.crashes = value.at(marks).get<cw_crash_counts>();
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
    if (is_whole_table) {
        return cw_key_table::parse(table);
    }
    auto changes = cw_key_table::parse_changes(table);
    return changes ? known.with_changes(std::move(*changes)) : changes;
}
