#pragma once

#include "cw_error.h"
#include "cw_host_info.h"
#include "cw_key_load.h"
#include "cw_leaving_notice.h"
#include "cw_limit_report.h"
#include "cw_shared_load.h"
#include "cw_upstream_speeds.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Reports that an upstream crashed while it ran a request, or that such a request was answered
/// after all.
struct cw_crash_report {
    std::uint64_t fingerprint = 0;
    /// "IP:port" of the upstream; empty for an answer.
    std::string address;
    bool answered = false;
};

/// Report of a host to a service's steward about itself and the load of the service's keys.
struct cw_host_report {
    std::string service;
    std::string host;
    std::uint64_t incarnation = 0;
    cw_host_info host_info;
    std::vector<cw_key_count> counts;
    std::vector<cw_speed_sample> speeds;
    /// Shutdown notices of the service's upstreams.
    std::vector<cw_leaving_notice> leaving;
    /// Crashes since the last report; sent only to the steward that collects them.
    std::vector<cw_crash_report> crashes;
    /// Known limits of upstreams of all services; sent only to the steward that collects crashes.
    std::vector<cw_limit_report> limits;
    /// Loads that upstreams have stated since the last report: those of the service, and in the
    /// report to the steward that collects crashes also those of services without keys.
    std::vector<cw_shared_load> loads;

    /// The report as JSON text.
    [[nodiscard]] std::string to_json() const;
    /// Parses the output of to_json(). It is an error if the JSON is invalid or a required field is
    /// missing.
    [[nodiscard]] static cw_result<cw_host_report> parse(std::string_view text);
};
