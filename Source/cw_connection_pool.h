#pragma once

#include "cw_time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

/// Idle connections of one traffic thread to upstreams, by address.
///
/// Only connections without an outstanding answer are released to the pool, so that a late answer
/// cannot be taken for the answer to another request.
class cw_connection_pool {
public:
    using stream = boost::asio::ip::tcp::socket;

    explicit cw_connection_pool(boost::asio::io_context& context)
        : context_{context} {}

    /// Takes an idle connection that has not expired, that the upstream has not closed and that
    /// holds no unread bytes; null when there is none.
    [[nodiscard]] std::unique_ptr<stream> acquire(const std::string& address);
    /// A new socket that is not connected.
    [[nodiscard]] std::unique_ptr<stream> create() { return std::make_unique<stream>(context_); }
    /// Adds an idle connection; closes it when the pool holds enough for the address. `expires_at`
    /// is the time from which the upstream may close the connection.
    void release(const std::string& address, std::unique_ptr<stream> connection,
                 cw_time_point expires_at = cw_time_point::max());
    /// Closes all idle connections.
    void clear() { idle_.clear(); }

private:
    boost::asio::io_context& context_;
    struct idle_connection {
        std::unique_ptr<stream> connection;
        cw_time_point expires_at;
    };
    std::unordered_map<std::string, std::vector<idle_connection>> idle_;
};
