#include "cw_host_list.h"

#include <nlohmann/json.hpp>

namespace {

cw_host parse_host(const nlohmann::json& item) {
    cw_host host;
    host.id = item.at("id").get<std::string>();
    host.kind = item.at("kind").get<std::string>() == "upstream" ? cw_host_kind::upstream
                                                                 : cw_host_kind::entry;
    host.domain = item.at("domain").get<std::string>();
    host.service = item.value("service", "");
    host.address = item.at("address").get<std::string>();
    host.leaving = item.value("state", "live") == "leaving";
    return host;
}

} // namespace

cw_result<std::vector<cw_host>> cw_parse_host_list(std::string_view text) {
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_array()) {
        return tl::unexpected(
            cw_error{"parse host list", "platform", "the host list is not a JSON array"});
    }
    try {
        std::vector<cw_host> hosts;
        hosts.reserve(parsed.size());
        for (const auto& item : parsed) {
            hosts.push_back(parse_host(item));
        }
        return hosts;
    } catch (const nlohmann::json::exception& failure) {
        return tl::unexpected(cw_error{"parse host list", "platform", failure.what()});
    }
}

nlohmann::json cw_host_to_json(const cw_host& host) {
    return {{"id", host.id},
            {"kind", host.kind == cw_host_kind::upstream ? "upstream" : "entry"},
            {"domain", host.domain},
            {"service", host.service},
            {"address", host.address},
            {"state", host.leaving ? "leaving" : "live"}};
}
