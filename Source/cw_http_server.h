#pragma once

#include "cw_address.h"
#include "cw_http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

/// A small HTTP/1.1 server for control interfaces. Handlers are coroutines and may suspend.
class cw_http_server {
public:
    using handler = std::function<boost::asio::awaitable<cw_http_response>(cw_http_request)>;

    /// Binds immediately; throws boost::system::system_error when the address is in use.
    cw_http_server(boost::asio::io_context& context, const cw_address& address, handler handle);
    /// Starts accepting connections.
    void start();
    /// Stops accepting connections; open connections continue.
    void close();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    handler handle_;
};
