#pragma once

#include "cw_timeline_event.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

/// The most recent time line events of one process, in bounded memory. Thread-safe.
class cw_timeline {
public:
    cw_timeline(std::string host, std::string domain, std::string component);

    /// Stores an event with the time at which it happened, and logs it.
    void add(const cw_timeline_event& event, std::chrono::system_clock::time_point at);
    /// Events after the given sequence number, oldest first, as a JSON array.
    [[nodiscard]] nlohmann::json events_after(std::uint64_t sequence) const;
    /// Stores an event that another process of this host reported, without logging it.
    void add_external(const nlohmann::json& event);

private:
    struct entry {
        std::uint64_t sequence;
        std::string json;
    };

    void append(std::string json);

    std::string host_;
    std::string domain_;
    std::string component_;
    mutable std::mutex mutex_;
    std::deque<entry> entries_;
    std::uint64_t next_sequence_ = 1;
};
