#pragma once

#include "cw_raw_upstream.h"
#include "cw_router_shared.h"
#include "cw_traffic_thread.h"

#include <chrono>
#include <memory>
#include <string>

/// An answer as the caller receives it.
struct cw_observed_answer {
    /// False when the connection ended before the end of the answer.
    bool is_complete = false;
    unsigned status = 0;
    std::string outcome;
    std::string body;
    /// Retry-after time in milliseconds; 0 when the answer states none.
    std::int64_t retry_after_ms = 0;
};

/// Runs a traffic thread of a router in the test process, with one raw upstream that owns all keys
/// of the service "gallery".
class cw_routed_call {
public:
    explicit cw_routed_call(cw_raw_upstream::script answer);
    ~cw_routed_call();

    /// Sends one request on a new connection and returns the answer.
    [[nodiscard]] cw_observed_answer call(const std::string& method, const std::string& target,
                                          std::chrono::milliseconds deadline);
    /// Sends one request and closes the connection after the given time.
    void call_and_leave(const std::string& target, std::chrono::milliseconds after);

    /// The event loop of the traffic thread.
    [[nodiscard]] boost::asio::io_context& context();
    /// Blocks the traffic thread for the given time, as on an overloaded machine.
    void block_thread(std::chrono::milliseconds length);

    [[nodiscard]] cw_raw_upstream& upstream() { return *upstream_; }
    [[nodiscard]] std::uint16_t port() const { return listen_.port; }
    [[nodiscard]] cw_router_shared& shared() { return shared_; }

private:
    std::unique_ptr<cw_raw_upstream> upstream_;
    cw_router_shared shared_;
    cw_address listen_;
    std::unique_ptr<cw_traffic_thread> thread_;
};
