#pragma once

#include "cw_boot_clock.h"
#include "cw_shared_load.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Collects the loads that the upstreams of one service state to all hosts, and names those without
/// a free slot.
///
/// A host of a large fleet gets a response of a given upstream every few seconds only, and without
/// this it sends requests to upstreams whose queues are longer than its callers can wait. Answers
/// the load of many hosts that compete for little room. Upstreams that are not named count as free.
///
/// A deterministic state machine: it reads no clock and does no I/O.
class cw_load_collector {
public:
    /// A host reports what upstreams have stated to it since its last report. Loads older than
    /// `max_age` are ignored, and of several of one upstream the youngest counts.
    void on_report(const std::vector<cw_shared_load>& loads, cw_boot_time now);
    /// The upstreams without a free slot, the fullest first, `max_named` at most.
    [[nodiscard]] std::vector<cw_shared_load> full_upstreams(cw_boot_time now);
    [[nodiscard]] std::size_t size() const { return loads_.size(); }

    /// Requests take some tenths of a second, so an older load says little.
    static constexpr std::chrono::milliseconds max_age{800};
    /// Bounds the bytes of a reply: hosts spend 4 KB a second on control and get four replies.
    static constexpr std::size_t max_named = 24;

private:
    struct known_load {
        cw_shared_load load;
        cw_boot_time stated_at{};
    };

    /// Bounds the memory if reports name upstreams that do not exist.
    static constexpr std::size_t max_upstreams = 16'384;

    void expire(cw_boot_time now);

    /// By the id of the upstream.
    std::map<std::string, known_load> loads_;
};
