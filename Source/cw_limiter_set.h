#pragma once

#include "cw_concurrency_limiter.h"
#include "cw_wait_queue.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

/// The concurrency limiters of one traffic thread, by upstream address, and the queues of the
/// requests that wait for a permit.
class cw_limiter_set {
public:
    cw_limiter_set(boost::asio::io_context& context, bool adaptive)
        : context_{context},
          adaptive_{adaptive},
          engine_{std::random_device{}()} {}

    /// The limiter of an upstream, created on first use; it lives as long as the set. `slots` is
    /// the currently configured upper bound of its limit.
    [[nodiscard]] cw_concurrency_limiter& limiter(const std::string& address, std::uint32_t slots);
    /// The queue of the requests that wait for one upstream (`name` is its address) or for any
    /// upstream of a service (`name` is the service's name). Created on first use.
    [[nodiscard]] cw_wait_queue& queue(const std::string& name);
    /// Closes all queues, which ends the waits in them.
    void close();

private:
    boost::asio::io_context& context_;
    bool adaptive_;
    std::minstd_rand engine_;
    std::unordered_map<std::string, std::unique_ptr<cw_concurrency_limiter>> limiters_;
    std::unordered_map<std::string, std::unique_ptr<cw_wait_queue>> queues_;
};
