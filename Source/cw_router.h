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

/// The router process: traffic threads, and a control thread that follows a keeper's routes.
class cw_router {
public:
    /// Binds all addresses; throws boost::system::system_error when one is taken.
    explicit cw_router(cw_router_options options);
    ~cw_router();

    /// Runs until SIGTERM or SIGINT; then readiness goes first, requests in flight finish, and it
    /// returns.
    void run();

private:
    boost::asio::awaitable<void> poll_keeper();
    boost::asio::awaitable<void> shut_down();
    boost::asio::awaitable<cw_http_response> serve_admin(cw_http_request request);
    [[nodiscard]] std::string metrics() const;
    /// Other keepers of the own domain, for when the one in use does not answer.
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
