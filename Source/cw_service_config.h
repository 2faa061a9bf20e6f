#pragma once

#include <chrono>
#include <cstdint>
#include <string>

/// What happens to the keys of a failure domain that a network partition separates from all others.
/// The setting is called `cut_off`.
enum class cw_partition_policy {
    /// The domain keeps its keys and continues to serve its own callers.
    hold,
    /// The domain stops serving by itself, and other domains take over its keys.
    release
};

/// Priority by which requests are admitted when a service's upstreams are full.
enum class cw_priority { critical, interactive, batch };

/// One service of an organization (`firm`), as its operators declare it.
struct cw_service_config {
    std::string name;
    std::string firm;
    /// Path prefix by which callers reach the service; it starts and ends with a slash.
    std::string prefix;
    /// True when each key has one owning upstream.
    bool keyed = true;
    /// True when the upstreams reject ownership commands that carry an outdated fence.
    bool checks_fences = true;
    /// Behaviour of the service in a domain that is partitioned from all others.
    cw_partition_policy partition_policy = cw_partition_policy::hold;
    cw_priority priority = cw_priority::interactive;
    /// Maximum number of requests that one upstream runs concurrently.
    std::uint32_t slots = 1;
    /// Maximum number of connections that one upstream accepts, in total over all routers.
    std::uint32_t connections = 100;
    /// Slices assigned to each upstream when the service starts.
    std::uint32_t slices_per_upstream = 8;
    /// Intended upper bound of the ratio of the highest upstream load to the mean.
    double imbalance_bound = 1.15;
    /// Maximum number of slices that the planner moves for balance within one hold-down window.
    std::uint32_t churn_budget = 4;
    /// Minimum time between two balancing moves of the service.
    std::chrono::milliseconds hold_down{30'000};
    /// Time limit of a request whose caller sets no deadline.
    std::chrono::milliseconds default_deadline{2'000};

    friend bool operator==(const cw_service_config&, const cw_service_config&) = default;
};
