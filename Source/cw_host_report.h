#pragma once

#include "cw_error.h"
#include "cw_host_place.h"
#include "cw_key_load.h"
#include "cw_leaving_notice.h"
#include "cw_upstream_speeds.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// A death of an upstream beside a request, or the request's answer after all.
struct cw_crash_report {
    std::uint64_t fingerprint = 0;
    /// "IP:port" of the upstream; empty for an answer.
    std::string address;
    bool answered = false;
};

/// What a host tells a service's steward about itself and the service's keys.
struct cw_host_report {
    std::string service;
    std::string host;
    std::uint64_t incarnation = 0;
    cw_host_place host_info;
    std::vector<cw_key_count> counts;
    std::vector<cw_speed_note> speeds;
    /// Upstreams of the service that said that they leave.
    std::vector<cw_leaving_notice> leaving;
    /// Since the last report; only in reports to the steward that gathers them.
    std::vector<cw_crash_report> crashes;

    /// The report as JSON text.
    [[nodiscard]] std::string to_text() const;
    /// Reads to_text()'s form; the error says what is wrong.
    [[nodiscard]] static cw_result<cw_host_report> parse(std::string_view text);
};
