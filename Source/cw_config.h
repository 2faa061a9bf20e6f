#pragma once

#include "cw_domain_config.h"
#include "cw_service_config.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// A complete, valid configuration. It is never modified; a new version replaces it.
struct cw_config {
    /// Version number from the head record; it only increases.
    std::uint64_t version = 0;
    std::vector<std::string> firms;
    std::vector<cw_domain_config> domains;
    std::vector<cw_service_config> services;

    /// The service with this name, or null.
    [[nodiscard]] const cw_service_config* service(std::string_view name) const;
    /// The failure domain with this name, or null.
    [[nodiscard]] const cw_domain_config* domain(std::string_view name) const;
    /// The service whose prefix the path starts with, or null. Prefixes never overlap.
    [[nodiscard]] const cw_service_config* service_for_path(std::string_view path) const;
    /// The deputy of a domain, which may release it: the next domain of the same firm by name,
    /// wrapping around at the end. Null when there is no other domain or no domain with this name.
    [[nodiscard]] const cw_domain_config* deputy_of(std::string_view domain) const;
};
