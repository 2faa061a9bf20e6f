#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// Options of the load tool.
struct cw_load_options {
    /// "IP:port" of routers; requests are distributed over them round-robin.
    std::vector<std::string> targets;
    /// Path prefix of the service, such as "/gallery/".
    std::string prefix;
    /// Requests per second. The load is open-loop: send times do not depend on answers.
    std::uint32_t rate = 100;
    std::chrono::seconds duration{5};
    std::uint32_t key_count = 1'000;
    /// Zipf exponent of the key popularity; 0 gives all keys the same share.
    double zipf_exponent = 1.0;
    /// Number of the most popular key. Popularity falls with rising number, modulo `key_count`.
    std::uint32_t hottest_key = 0;
    /// Share of POST requests, which are not idempotent.
    double post_share = 0.2;
    std::chrono::milliseconds deadline{2'000};
    /// Minimum size of each answer in bytes; 0 for the upstream's default answer.
    std::uint32_t answer_bytes = 0;
    std::uint64_t seed = 1;
    /// "IP:port" of the platform, whose host list names the upstreams; empty for no audit.
    std::string platform;
};
