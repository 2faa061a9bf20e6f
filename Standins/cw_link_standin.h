#pragma once

#include "cw_address.h"
#include "cw_async_condition.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

/// A TCP forwarder that can simulate a network partition. While partitioned, connections stay open
/// but carry no data.
class cw_link_standin {
public:
    cw_link_standin(boost::asio::io_context& context, const cw_address& listen,
                    const cw_address& target);
    void start();
    void set_partitioned(bool is_partitioned);

private:
    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> forward_connection(socket_ptr caller);
    boost::asio::awaitable<void> forward_data(socket_ptr from, socket_ptr to);
    boost::asio::awaitable<void> wait_until_restored();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    cw_address target_;
    cw_async_condition restored_;
    bool is_partitioned_ = false;
};
