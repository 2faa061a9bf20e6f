#pragma once

#include "cw_address.h"
#include "cw_steward_options.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

/// Settings of one gateway process, checked.
struct cw_gateway_options {
    std::string host;
    /// Failure domain.
    std::string domain;
    /// Where callers connect.
    cw_address listen_address;
    /// Readiness and metrics.
    cw_address admin_address;
    /// A further port for metrics, the same on all hosts and days; 0 for none.
    std::uint16_t metrics_port = 0;
    /// Where the other hosts report.
    cw_address peer_address;
    /// "IP:port" of the platform's store.
    std::string store_address;
    /// Longest time from SIGTERM to the end of the process.
    std::chrono::milliseconds stop_grace{6'000};
    /// Time after an outage of the store in which lapsed entries come back.
    std::chrono::milliseconds entry_return_time{2'500};
    /// Pause between two looks at the upstreams' entries.
    std::chrono::milliseconds upstream_poll_interval{500};
    /// Retries of all hosts together: a share of the requests, and a number within the window.
    double retry_share = 0.2;
    double retry_slack = 60.0;
    /// Share of the machine's processor, in cores.
    double processor_share = 1.0;
    /// Rate of the machine's link, in Mbit/s.
    double link_rate = 1'000.0;
    cw_steward_options ownership;

    /// What the machine can carry beside traffic, in cores: its processor, or less when its link
    /// binds first.
    [[nodiscard]] double cpu_capacity() const {
        return std::min(processor_share, link_rate / 400.0);
    }
};
