#pragma once

#include "cw_error.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <string>

/// Runs a coroutine until it completes and returns its result. For programs without concurrency.
template <typename T>
[[nodiscard]] T cw_run_until_complete(boost::asio::io_context& context,
                                      boost::asio::awaitable<T> work) {
    context.restart();
    auto result = boost::asio::co_spawn(context, std::move(work), boost::asio::use_future);
    context.run();
    return result.get();
}

/// Response body of a GET request to the process at `address` ("IP:port"). Any status other than
/// 200 is an error.
[[nodiscard]] cw_result<std::string> cw_http_get(boost::asio::io_context& context,
                                                 const std::string& address,
                                                 const std::string& target, cw_time_point deadline);
