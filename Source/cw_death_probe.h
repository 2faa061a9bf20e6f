#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>

/// True when nothing listens at the address ("IP:port") any more. Takes at most 400 ms, and 150 ms
/// when the process there lives.
[[nodiscard]] boost::asio::awaitable<bool> cw_is_dead(boost::asio::io_context& context,
                                                      std::string address);
