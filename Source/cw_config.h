#pragma once

#include "cw_domain_config.h"
#include "cw_service_config.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// One whole, valid configuration. It is never changed in place; a new version replaces it.
struct cw_config {
    /// Version given by the head record; versions only rise.
    std::uint64_t version = 0;
    std::vector<std::string> firms;
    std::vector<cw_domain_config> domains;
    std::vector<cw_service_config> services;

    [[nodiscard]] const cw_service_config* service(std::string_view name) const;
    [[nodiscard]] const cw_domain_config* domain(std::string_view name) const;
    /// The service whose prefix the path starts with, or null. Prefixes never overlap.
    [[nodiscard]] const cw_service_config* service_for_path(std::string_view path) const;
    /// The domain that may release the given one: the next of the same firm by name, or null.
    [[nodiscard]] const cw_domain_config* deputy_of(std::string_view domain) const;
};
