#pragma once

#include <boost/asio/ip/tcp.hpp>

/// What stands next on a connection.
enum class cw_socket_state {
    no_data,
    has_data,
    /// The peer has ended the connection or its sending side, or the connection has failed.
    closed
};

/// Looks at a connection without taking anything in and without waiting.
[[nodiscard]] cw_socket_state cw_peek_socket(boost::asio::ip::tcp::socket& socket);
