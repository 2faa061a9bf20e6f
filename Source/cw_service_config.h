#pragma once

#include <chrono>
#include <cstdint>
#include <string>

/// What becomes of a failure domain's keys when the domain is cut off from everything else.
enum class cw_partition_policy {
    /// The keys stay with the domain and go on for its own callers.
    hold,
    /// The domain stops by itself, and other domains take the keys over.
    release
};

/// Order in which requests are admitted when a service's upstreams are full.
enum class cw_priority { critical, interactive, batch };

/// One service of a firm, as its operators declare it.
struct cw_service_config {
    std::string name;
    std::string firm;
    /// Path prefix by which callers reach the service; it starts and ends with a slash.
    std::string prefix;
    /// True when each key has one owning upstream.
    bool keyed = true;
    /// True when the upstreams refuse orders that carry an old fence.
    bool checks_fences = true;
    cw_partition_policy partition_policy = cw_partition_policy::hold;
    cw_priority priority = cw_priority::interactive;
    /// Requests that one upstream runs at once.
    std::uint32_t slots = 1;
    /// Connections that one upstream accepts from all routers together.
    std::uint32_t connections = 100;
    /// Slices dealt to each upstream when the service starts.
    std::uint32_t slices_per_upstream = 8;
    /// Highest wanted ratio of the busiest upstream's load to the mean.
    double imbalance_bound = 1.15;
    /// Slices that the planner may move for balance within one window of the hold-down.
    std::uint32_t churn_budget = 4;
    /// Least time between two balancing moves of the service.
    std::chrono::milliseconds hold_down{30'000};
    /// Deadline of a request whose caller states none.
    std::chrono::milliseconds default_deadline{2'000};

    friend bool operator==(const cw_service_config&, const cw_service_config&) = default;
};
