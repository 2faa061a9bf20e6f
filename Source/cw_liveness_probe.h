#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>

/// True when nothing listens at the address ("IP:port") any more. Takes 150 ms when the process
/// there lives, and at most 1.2 s when it resets connections or does not answer; one that only
/// resets them lives.
[[nodiscard]] boost::asio::awaitable<bool> cw_is_down(boost::asio::io_context& context,
                                                      std::string address);
