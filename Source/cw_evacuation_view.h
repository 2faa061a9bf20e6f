#pragma once

#include "cw_boot_clock.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

/// What the handling of requests has to know about evacuated failure domains.
struct cw_evacuation_view {
    /// Evacuated domains, with the time from which not even the owner of a key gets requests.
    std::map<std::string, cw_boot_time, std::less<>> evacuated;
    /// Domains that have returned to service, with the time until which their upstreams count as
    /// just started.
    std::map<std::string, cw_boot_time, std::less<>> returned;
    /// Services all of whose upstreams are in evacuated domains.
    std::set<std::string, std::less<>> services_without_upstreams;

    [[nodiscard]] bool is_evacuated(std::string_view domain) const {
        return evacuated.contains(domain);
    }
    /// True if the owner of a key in the domain may get requests, until its keys have moved.
    [[nodiscard]] bool allows_keyed(std::string_view domain, cw_boot_time now) const {
        const auto found = evacuated.find(domain);
        return found == evacuated.end() || now < found->second;
    }
    /// True if the domain returned to service a moment ago, so that the entries of its upstreams
    /// may not yet say that they are cold.
    [[nodiscard]] bool has_just_returned(std::string_view domain, cw_boot_time now) const {
        const auto found = returned.find(domain);
        return found != returned.end() && now < found->second;
    }
    [[nodiscard]] bool has_no_upstream_left(std::string_view service) const {
        return services_without_upstreams.contains(service);
    }
};
