#include "cw_route_view.h"

#include "cw_config_source.h"
#include "cw_host_list.h"
#include "cw_key_hash.h"

#include <nlohmann/json.hpp>

cw_result<std::shared_ptr<const cw_route_view>>
cw_route_view::parse(std::string_view text, const cw_route_view* previous) {
    const auto state = nlohmann::json::parse(text, nullptr, false);
    auto view = std::make_shared<cw_route_view>();
    try {
        view->keeper_run_ = state.at("run").get<std::uint64_t>();
        view->revision_ = state.at("revision").get<std::uint64_t>();
        // A keeper that has just started may know an older version than the one that this router
        // uses.
        const auto version = state.at("config_version").get<std::uint64_t>();
        if (previous != nullptr && version <= previous->config_->version) {
            view->config_ = previous->config_;
        } else {
            const auto loaded = cw_config_bundle_from_json(state);
            if (!loaded) {
                return tl::unexpected(loaded.error());
            }
            view->config_ = loaded->config;
        }
        for (const auto& item : state.at("tables")) {
            auto table = cw_slice_table::parse(item.get<std::string>());
            if (!table) {
                return tl::unexpected(table.error());
            }
            view->tables_.emplace(table->service(), std::move(*table));
        }
        auto hosts = cw_parse_host_list(state.at("hosts").dump());
        if (!hosts) {
            return tl::unexpected(hosts.error());
        }
        view->hosts_ = std::move(*hosts);
        // Keepers of an earlier release do not send this field.
        if (state.contains("crashes")) {
            view->crash_counts_ = state.at("crashes").get<cw_crash_counts>();
        }
    } catch (const nlohmann::json::exception& failure) {
        return tl::unexpected(cw_error{"parse routes", "keeper", failure.what()});
    }
    if (previous != nullptr) {
        for (const auto& [service, table] : previous->tables_) {
            auto& own_table = view->tables_[service];
            if (own_table.epoch() < table.epoch()) {
                own_table = table;
            }
        }
    }
    return std::shared_ptr<const cw_route_view>{std::move(view)};
}

cw_result<cw_route> cw_route_view::route_for(std::string_view path) const {
    cw_route route;
    route.service = config_->service_for_path(path);
    if (route.service == nullptr) {
        return tl::unexpected(cw_error{"find service", "", "no service has this path"});
    }
    const auto rest = path.substr(route.service->prefix.size());
    route.key = rest.substr(0, rest.find_first_of("/?"));
    if (!route.service->keyed) {
        return route;
    }
    if (route.key.empty()) {
        return tl::unexpected(cw_error{"find key", "", "the path names no key"});
    }
    const auto table = tables_.find(route.service->name);
    if (table == tables_.end() || table->second.slices().empty()) {
        return tl::unexpected(cw_error{"find owner", route.service->name, "no table is known"});
    }
    route.hash = cw_key_hash(route.key);
    route.slice = &table->second.slice_of(route.hash);
    route.address = table->second.owner(route.slice->owner)->address;
    return route;
}

cw_upstream_candidates cw_route_view::candidates(std::string_view service,
                                                 std::string_view domain) const {
    cw_upstream_candidates result;
    std::vector<std::string> other_domains;
    for (const auto& host : hosts_) {
        if (host.kind == cw_host_kind::upstream && host.service == service && !host.leaving) {
            (host.domain == domain ? result.addresses : other_domains).push_back(host.address);
        }
    }
    result.local_count = result.addresses.size();
    result.addresses.insert(result.addresses.end(), other_domains.begin(), other_domains.end());
    return result;
}
