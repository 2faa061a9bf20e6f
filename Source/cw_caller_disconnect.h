#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

/// Bytes of later requests that are taken in while one is at work.
inline constexpr std::size_t cw_max_pipelined_bytes = 16'384;

/// True when a caller has ended its connection or its sending side.
///
/// An end stands behind the bytes that the caller has sent before it, so what has arrived is taken
/// into the buffer, as the beginning of the next requests. Beyond the bound on these bytes an end
/// is not found. No operation that reads may be under way on the socket.
[[nodiscard]] bool cw_has_caller_left(boost::asio::ip::tcp::socket& caller,
                                      boost::beast::flat_buffer& pipelined);
