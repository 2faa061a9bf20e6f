#pragma once

#include "cw_http_client.h"
#include "cw_http_server.h"
#include "cw_kernel.h"
#include "cw_log.h"
#include "cw_router_options.h"
#include "cw_router_shared.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

class cw_traffic_thread;

/// The router process: threads that serve callers, and a control thread that receives routes from a
/// keeper.
class cw_router {
public:
    /// Binds all addresses; throws boost::system::system_error when one is in use.
    explicit cw_router(cw_router_options options);
    ~cw_router();

    /// Runs until SIGTERM or SIGINT. Then it reports that it is not ready, stops accepting
    /// connections after the deregistration delay, waits until requests in flight have finished or
    /// the drain timeout has passed, and returns.
    void run();

private:
    /// Requests new routes from a keeper by long poll; tries the next keeper when one fails.
    boost::asio::awaitable<void> poll_keeper();
    /// Stops in the order that run() describes.
    boost::asio::awaitable<void> shut_down();
    boost::asio::awaitable<cw_http_response> serve_admin(cw_http_request request);
    [[nodiscard]] std::string metrics() const;
    /// Adds the other keepers in the local failure domain, which are used when the current one does
    /// not answer.
    void add_keepers(const nlohmann::json& hosts);

    cw_router_options options_;
    cw_log log_{"router"};
    boost::asio::io_context context_{1};
    cw_kernel kernel_;
    cw_router_shared shared_;
    std::vector<std::unique_ptr<cw_traffic_thread>> threads_;
    cw_http_server admin_;
    cw_http_client http_;
    bool ready_ = true;
};
