#pragma once

#include <string>

/// One failure domain of an organization (`firm`).
struct cw_domain_config {
    std::string name;
    std::string firm;
    std::string region;

    friend bool operator==(const cw_domain_config&, const cw_domain_config&) = default;
};
