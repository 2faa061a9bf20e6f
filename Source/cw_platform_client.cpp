#include "cw_platform_client.h"

#include "cw_blocking_http.h"
#include "cw_host_list.h"
#include "cw_http_client.h"
#include "cw_store_client.h"
#include "cw_store_key.h"

namespace {
using namespace std::chrono_literals;
constexpr auto call_timeout = 3s;
constexpr auto http_get_timeout = 1s;

auto deadline() {
    return std::chrono::steady_clock::now() + call_timeout;
}
} // namespace

cw_result<std::string> cw_platform_client::get(const std::string& address,
                                               const std::string& target) {
    return cw_http_get(context_, address, target,
                       std::chrono::steady_clock::now() + http_get_timeout);
}

cw_result<cw_stored_head> cw_platform_client::read_head() {
    cw_http_client client{context_};
    cw_store_client store{client, platform_};
    const auto value =
        cw_run_until_complete(context_, store.read(std::string{cw_config_head_key}, deadline()));
    if (!value) {
        return tl::unexpected(value.error());
    }
    if (value->version == 0) {
        return cw_stored_head{};
    }
    auto head = cw_config_head::parse(value->value);
    if (!head) {
        return tl::unexpected(head.error());
    }
    return cw_stored_head{value->version, std::move(*head)};
}

cw_result<std::vector<cw_config_file>> cw_platform_client::read_parts(const cw_config_head& head) {
    cw_http_client client{context_};
    cw_store_client store{client, platform_};
    std::vector<cw_config_file> files;
    for (const auto& [name, digest] : head.parts) {
        auto value =
            cw_run_until_complete(context_, store.read(cw_config_part_key(digest), deadline()));
        if (!value) {
            return tl::unexpected(value.error());
        }
        files.push_back({name, std::move(value->value)});
    }
    return files;
}

cw_result<std::vector<cw_host>> cw_platform_client::hosts() {
    const auto text = get(platform_, "/hosts");
    if (!text) {
        return tl::unexpected(text.error());
    }
    return cw_parse_host_list(*text);
}

cw_result<std::vector<cw_host_status>> cw_platform_client::host_statuses() {
    const auto list = hosts();
    if (!list) {
        return tl::unexpected(list.error());
    }
    std::vector<cw_host_status> statuses;
    for (const auto& host : *list) {
        if (host.kind != cw_host_kind::entry) {
            continue;
        }
        const auto text = get(host.address, "/v1/status");
        statuses.push_back(
            {host.id, text ? nlohmann::json::parse(*text, nullptr, false) : nlohmann::json{}});
    }
    return statuses;
}

cw_result<cw_slice_table> cw_platform_client::table(const std::string& service) {
    cw_http_client client{context_};
    cw_store_client store{client, platform_};
    const auto value =
        cw_run_until_complete(context_, store.read(cw_table_key(service), deadline()));
    if (!value) {
        return tl::unexpected(value.error());
    }
    if (value->version == 0) {
        return tl::unexpected(
            cw_error{"read table", platform_, "service \"" + service + "\" has no table"});
    }
    return cw_slice_table::parse(value->value);
}
