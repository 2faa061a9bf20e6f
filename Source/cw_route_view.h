#pragma once

#include "cw_config.h"
#include "cw_crash_counts.h"
#include "cw_error.h"
#include "cw_host.h"
#include "cw_slice_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Where one request goes.
struct cw_route {
    const cw_service_config* service = nullptr;
    std::string_view key;
    std::uint64_t hash = 0;
    /// Null for services without keys.
    const cw_slice* slice = nullptr;
    /// "IP:port" of the owner; empty for services without keys.
    std::string address;
};

/// Upstreams of a service without keys.
struct cw_upstream_candidates {
    /// "IP:port" of each, those of the own failure domain first.
    std::vector<std::string> addresses;
    /// How many of them are of the own failure domain.
    std::size_t local_count = 0;
};

/// Configuration, tables and hosts as one keeper stated them at one moment. Never changed in place.
class cw_route_view {
public:
    /// Reads the keeper's JSON form.
    [[nodiscard]] static cw_result<std::shared_ptr<const cw_route_view>>
    parse(std::string_view text, const cw_route_view* previous);

    [[nodiscard]] std::uint64_t keeper_run() const { return keeper_run_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const cw_config& config() const { return *config_; }
    [[nodiscard]] const std::map<std::string, cw_slice_table>& tables() const { return tables_; }

    /// The route of a path. The step that failed is named when there is no service or no table.
    [[nodiscard]] cw_result<cw_route> route_for(std::string_view path) const;
    /// Upstreams of a service without keys that are not leaving, as seen from a failure domain.
    [[nodiscard]] cw_upstream_candidates candidates(std::string_view service,
                                                    std::string_view domain) const;
    /// Requests that crashed upstreams, by fingerprint, with the number of crashes.
    [[nodiscard]] const cw_crash_counts& crash_counts() const { return crash_counts_; }

private:
    std::uint64_t keeper_run_ = 0;
    std::uint64_t revision_ = 0;
    std::shared_ptr<const cw_config> config_;
    std::map<std::string, cw_slice_table> tables_;
    std::vector<cw_host> hosts_;
    cw_crash_counts crash_counts_;
};
