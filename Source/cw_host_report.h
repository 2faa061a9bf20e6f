#pragma once

#include "cw_error.h"
#include "cw_key_load.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// What a host tells a service's steward about itself and the service's keys.
struct cw_host_report {
    std::string service;
    std::string host;
    std::uint64_t incarnation = 0;
    std::vector<cw_key_count> counts;

    /// The report as JSON text.
    [[nodiscard]] std::string to_text() const;
    /// Reads to_text()'s form; the error says what is wrong.
    [[nodiscard]] static cw_result<cw_host_report> parse(std::string_view text);
};
