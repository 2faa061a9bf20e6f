#pragma once

#include <boost/asio/ip/tcp.hpp>

/// What stands next on a connection.
enum class cw_arrival {
    nothing,
    bytes,
    /// The peer has ended the connection or its sending side, or the connection has failed.
    end
};

/// Looks at a connection without taking anything in and without waiting.
[[nodiscard]] cw_arrival cw_look_at(boost::asio::ip::tcp::socket& socket);
