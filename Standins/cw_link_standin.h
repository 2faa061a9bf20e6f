#pragma once

#include "cw_address.h"
#include "cw_async_condition.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>

/// A TCP forwarder that can simulate a network partition. While partitioned, connections stay open
/// but carry no data. Connections can also go silent for good while new ones work.
class cw_link_standin {
public:
    cw_link_standin(boost::asio::io_context& context, const cw_address& listen,
                    const cw_address& target);
    void start();
    void set_partitioned(bool is_partitioned);
    /// The connections that are open now stay open and carry no more data; new ones do.
    void silence_open_connections() { ++silent_before_; }

    /// Limits the bytes a second that all connections together carry towards the callers.
    void set_rate(std::uint64_t bytes_per_second) { rate_ = bytes_per_second; }
    /// Bytes carried towards the callers so far.
    [[nodiscard]] std::uint64_t delivered_bytes() const { return delivered_bytes_; }

private:
    enum class direction { to_target, to_caller };

    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> forward_connection(socket_ptr caller);
    /// Forwards until either side closes. `accepted_in` is the value of `silent_before_` at which
    /// the connection was accepted.
    boost::asio::awaitable<void> forward_data(socket_ptr from, socket_ptr to,
                                              std::uint64_t accepted_in, direction way);
    /// Waits until the link has carried the bytes, after those that it carries already.
    boost::asio::awaitable<void> carry(std::size_t bytes);
    boost::asio::awaitable<void> wait_until_restored();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    cw_address target_;
    cw_async_condition restored_;
    bool is_partitioned_ = false;
    /// Bytes a second; 0 for no limit.
    std::uint64_t rate_ = 0;
    std::uint64_t delivered_bytes_ = 0;
    /// When the link has carried all bytes that it was given.
    cw_time_point free_at_{};
    /// Rises by one each time all open connections go silent.
    std::uint64_t silent_before_ = 0;
};
