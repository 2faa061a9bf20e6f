#pragma once

#include "cw_address.h"
#include "cw_async_condition.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

/// A TCP link that can be cut. While it is cut, connections stand and carry nothing.
class cw_link_standin {
public:
    cw_link_standin(boost::asio::io_context& context, const cw_address& listen,
                    const cw_address& target);
    void start();
    void set_cut(bool cut);

private:
    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> connect(socket_ptr caller);
    boost::asio::awaitable<void> pump(socket_ptr from, socket_ptr to);
    boost::asio::awaitable<void> wait_until_whole();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    cw_address target_;
    cw_async_condition restored_;
    bool cut_ = false;
};
