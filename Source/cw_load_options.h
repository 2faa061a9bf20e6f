#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Settings of one run of the load tool.
struct cw_load_options {
    /// "IP:port" of routers; requests go to them in turn.
    std::vector<std::string> targets;
    /// Path prefix of the service, such as "/gallery/".
    std::string prefix;
    /// Requests per second, sent at their intended times whatever the answers do.
    std::uint32_t rate = 100;
    std::chrono::seconds duration{5};
    std::uint32_t key_count = 1'000;
    /// Exponent of the keys' popularity; 0 gives all keys the same share.
    double zipf_exponent = 1.0;
    /// Number of the most popular key; the others follow in order and wrap round.
    std::uint32_t hottest_key = 0;
    /// Share of POST requests, which are not idempotent.
    double post_share = 0.2;
    std::chrono::milliseconds deadline{2'000};
    /// Bytes of each answer; 0 for the upstream's own small one.
    std::uint32_t answer_bytes = 0;
    std::uint64_t seed = 1;
    /// "IP:port" of the platform, to find the upstreams' journals; empty for no audit.
    std::string platform;
};
