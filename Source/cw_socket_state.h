#pragma once

#include <boost/asio/ip/tcp.hpp>

/// What a read on a connection would return now.
enum class cw_socket_state {
    no_data,
    has_data,
    /// The peer has closed the connection or its sending side, or the connection has failed.
    closed
};

/// Peeks at the socket's receive buffer; consumes nothing and does not block.
[[nodiscard]] cw_socket_state cw_peek_socket(boost::asio::ip::tcp::socket& socket);
