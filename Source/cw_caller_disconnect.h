#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

/// Maximum number of bytes of later requests that are read while one is in progress.
inline constexpr std::size_t cw_max_pipelined_bytes = 16'384;

/// True when the caller has closed its connection or its sending side, or the connection has
/// failed. Does not wait.
///
/// The end of the stream follows the bytes that the caller sent before it, so all bytes that have
/// arrived are read into `pipelined`, as the beginning of the next requests. Once the buffer holds
/// `cw_max_pipelined_bytes` an end behind them is not detected. No other read may be in progress on
/// the socket.
[[nodiscard]] bool cw_has_caller_left(boost::asio::ip::tcp::socket& caller,
                                      boost::beast::flat_buffer& pipelined);
