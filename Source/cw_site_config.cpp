#include "cw_site_config.h"

#include <algorithm>
#include <cctype>

namespace {

std::string normalized_host(std::string_view host) {
    std::string name{host.substr(0, host.rfind(':'))};
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return name;
}

tl::unexpected<cw_error> config_error(const std::string& subject, const std::string& reason) {
    return tl::unexpected(cw_error{"check configuration", subject, reason});
}

cw_result<void> check_route(const cw_site_route& route,
                            const std::map<std::string, cw_site_service>& services) {
    const bool is_valid_prefix =
        !route.prefix.empty() && route.prefix.front() == '/' && route.prefix.back() == '/';
    if (route.host.empty() || !is_valid_prefix) {
        return config_error(route.name,
                            "needs a host name and a prefix that begins and ends with a slash");
    }
    if (route.parts.empty() || route.max_attempts == 0 || route.timeout.count() <= 0) {
        return config_error(route.name,
                            "needs at least one service, one attempt and a positive timeout");
    }
    for (const auto& part : route.parts) {
        if (!services.contains(part.service)) {
            return config_error(route.name, "uses the unknown service " + part.service);
        }
    }
    return {};
}

} // namespace

cw_result<cw_site_config> cw_site_config::make(std::uint64_t version, cw_caller_limits limits,
                                               std::vector<cw_site_route> routes,
                                               std::vector<cw_site_service> services) {
    cw_site_config config;
    config.version_ = version;
    config.limits_ = limits;
    for (auto& service : services) {
        const auto name = service.name;
        config.services_.emplace(name, std::move(service));
    }
    for (auto& route : routes) {
        if (const auto checked = check_route(route, config.services_); !checked) {
            return tl::unexpected(checked.error());
        }
        for (const auto& part : route.parts) {
            auto& longest = config.services_.at(part.service).longest_target;
            longest = std::max(longest, route.target);
        }
        config.routes_[normalized_host(route.host)].push_back(std::move(route));
    }
    for (auto& [host, list] : config.routes_) {
        std::stable_sort(list.begin(), list.end(), [](const auto& left, const auto& right) {
            return left.prefix.size() > right.prefix.size();
        });
    }
    return config;
}

const cw_site_route* cw_site_config::find(std::string_view host, std::string_view path) const {
    const auto found = routes_.find(normalized_host(host));
    if (found == routes_.end()) {
        return nullptr;
    }
    for (const auto& route : found->second) {
        if (path.starts_with(route.prefix)) {
            return &route;
        }
    }
    return nullptr;
}
