#pragma once

#include "cw_concurrency_limiter.h"
#include "cw_wait_queue.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

/// The gates of one traffic thread, by the upstreams' addresses, and the queues before them.
class cw_limiter_set {
public:
    cw_limiter_set(boost::asio::io_context& context, bool adaptive)
        : context_{context},
          adaptive_{adaptive},
          engine_{std::random_device{}()} {}

    /// The gate of an upstream; it lives as long as the set.
    [[nodiscard]] cw_concurrency_limiter& limiter(const std::string& address, std::uint32_t slots);
    /// The queue of those that wait for an upstream (by its address) or for any upstream of a
    /// service (by the service's name).
    [[nodiscard]] cw_wait_queue& queue(const std::string& name);
    /// Ends the waiting in all queues.
    void close();

private:
    boost::asio::io_context& context_;
    bool adaptive_;
    std::minstd_rand engine_;
    std::unordered_map<std::string, std::unique_ptr<cw_concurrency_limiter>> limiters_;
    std::unordered_map<std::string, std::unique_ptr<cw_wait_queue>> queues_;
};
