#pragma once

#include "cw_caller_limits.h"
#include "cw_error.h"
#include "cw_site_route.h"
#include "cw_site_service.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// A complete configuration of routes and services; immutable once it is in force.
class cw_site_config {
public:
    /// Validates the routes and builds the configuration. The error names the first route that is
    /// invalid.
    [[nodiscard]] static cw_result<cw_site_config> make(std::uint64_t version,
                                                        cw_caller_limits limits,
                                                        std::vector<cw_site_route> routes,
                                                        std::vector<cw_site_service> services);

    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] const cw_caller_limits& limits() const { return limits_; }
    [[nodiscard]] const std::map<std::string, cw_site_service>& services() const {
        return services_;
    }
    /// The route of the host name with the longest prefix that matches the path; null if there is
    /// none. Host names are compared without regard to case and port.
    [[nodiscard]] const cw_site_route* find(std::string_view host, std::string_view path) const;

private:
    std::uint64_t version_ = 0;
    cw_caller_limits limits_;
    std::map<std::string, cw_site_service> services_;
    /// Routes by lower-case host name, longest prefix first.
    std::map<std::string, std::vector<cw_site_route>, std::less<>> routes_;
};
