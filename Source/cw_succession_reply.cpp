#include "cw_succession_reply.h"

#include <nlohmann/json.hpp>

std::string cw_succession_reply::to_json() const {
    nlohmann::json value{{"host", host}, {"incarnation", incarnation}};
    if (!table.empty()) {
        value["table"] = table;
    }
    return value.dump();
}

cw_result<cw_succession_reply> cw_succession_reply::parse(std::string_view text) {
    try {
        const auto value = nlohmann::json::parse(text);
        return cw_succession_reply{value.at("host").get<std::string>(),
                                   value.at("incarnation").get<std::uint64_t>(),
                                   value.value("table", std::string{})};
    } catch (const nlohmann::json::exception& failure) {
        return tl::unexpected(cw_error{"parse succession reply", "", failure.what()});
    }
}
