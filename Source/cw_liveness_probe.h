#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>

/// True when no process listens at the address ("IP:port"); false when the address is invalid.
/// Takes 150 ms when the process is running, and at most 1.2 s when it resets connections or does
/// not answer. A process that resets every probe is considered running.
[[nodiscard]] boost::asio::awaitable<bool> cw_is_down(boost::asio::io_context& context,
                                                      std::string address);
