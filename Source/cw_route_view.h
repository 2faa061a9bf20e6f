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

/// The service, key and owner to which a request is routed.
struct cw_route {
    const cw_service_config* service = nullptr;
    /// Refers to the text of the path.
    std::string_view key;
    std::uint64_t hash = 0;
    /// Slice that contains the key; null for services without keys.
    const cw_slice* slice = nullptr;
    /// "IP:port" of the owner; empty for services without keys.
    std::string address;
};

/// Upstreams that can run a request to a service without keys.
struct cw_upstream_candidates {
    /// "IP:port" of each upstream; those in the local failure domain come first.
    std::vector<std::string> addresses;
    /// Number of upstreams in the local failure domain.
    std::size_t local_count = 0;
};

/// Immutable view of the configuration, slice tables and hosts that one keeper published at one
/// moment. Requests are routed by it.
class cw_route_view {
public:
    /// Parses the keeper's JSON. The configuration and tables of `previous`, which may be null, are
    /// kept where they are newer.
    [[nodiscard]] static cw_result<std::shared_ptr<const cw_route_view>>
    parse(std::string_view text, const cw_route_view* previous);

    /// Identifies the keeper's process, within which revisions are ordered.
    [[nodiscard]] std::uint64_t keeper_run() const { return keeper_run_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const cw_config& config() const { return *config_; }
    [[nodiscard]] const std::map<std::string, cw_slice_table>& tables() const { return tables_; }

    /// The route for a path. The error names the step that failed: there is no service with this
    /// path, no key in the path or no table of the service.
    [[nodiscard]] cw_result<cw_route> route_for(std::string_view path) const;
    /// Upstreams of a service without keys that are not leaving; `domain` is the local failure
    /// domain.
    [[nodiscard]] cw_upstream_candidates candidates(std::string_view service,
                                                    std::string_view domain) const;
    /// Number of upstream crashes that each request is suspected of, by fingerprint.
    [[nodiscard]] const cw_crash_counts& crash_counts() const { return crash_counts_; }

private:
    std::uint64_t keeper_run_ = 0;
    std::uint64_t revision_ = 0;
    std::shared_ptr<const cw_config> config_;
    std::map<std::string, cw_slice_table> tables_;
    std::vector<cw_host> hosts_;
    cw_crash_counts crash_counts_;
};
