#pragma once

#include "cw_address.h"
#include "cw_steward_options.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

/// Validated settings of one gateway process.
struct cw_gateway_options {
    /// Name of the host.
    std::string host;
    /// Failure domain.
    std::string domain;
    /// Address for callers.
    cw_address listen_address;
    /// Address of the readiness check and the metrics.
    cw_address admin_address;
    /// Additional port for metrics, which is the same on all hosts at all times; 0 for none.
    std::uint16_t metrics_port = 0;
    /// Address for reports and feed requests of other hosts.
    cw_address peer_address;
    /// "IP:port" of the platform's object store.
    std::string store_address;
    /// Longest time from SIGTERM to the exit of the process.
    std::chrono::milliseconds stop_grace{6'000};
    /// Time after an outage of the store in which upstreams may rewrite entries that have expired.
    std::chrono::milliseconds entry_return_time{2'500};
    /// Time after which a configuration that the store has acknowledged has to be in force.
    std::chrono::milliseconds config_bound{2'000};
    /// Time after which nothing may be sent to an evacuated failure domain any more; 0 if the
    /// deployment knows no evacuations.
    std::chrono::milliseconds evacuation_bound{0};
    /// Most requests that a cold upstream may get in one second from all hosts together, as a
    /// multiple of the rate that its service names plus a number of requests.
    double cold_overage = 1.5;
    double cold_slack = 8.0;
    /// Delay between two reads of the upstream entries.
    std::chrono::milliseconds upstream_poll_interval{500};
    /// Limits on the retries of all hosts together: a share of the requests, plus a fixed number of
    /// retries within the measuring window, which the hosts' retry budgets hold as tokens.
    double retry_share = 0.2;
    double retry_slack = 60.0;
    /// Share of the machine's CPU that the process may use, in cores.
    double processor_share = 1.0;
    /// Bandwidth of the machine's network link, in Mbit/s.
    double link_rate = 1'000.0;
    /// Memory that the process may use, in bytes.
    std::uint64_t memory_limit = 256ULL * 1024 * 1024;
    cw_steward_options ownership;

    /// Capacity for work beside traffic, in cores: the processor share, or less where the network
    /// link is the bottleneck. 400 Mbit/s count as one core.
    [[nodiscard]] double cpu_capacity() const {
        return std::min(processor_share, link_rate / 400.0);
    }
    /// Limit of all answers together that are being received from upstreams or written to callers,
    /// in bytes. A string that grows holds up to half as much again for a moment.
    [[nodiscard]] std::uint64_t answer_buffer_limit() const { return memory_limit / 5; }
    /// The same of all callers' requests that are being received or have no answer yet.
    [[nodiscard]] std::uint64_t request_buffer_limit() const { return memory_limit / 5; }
};
