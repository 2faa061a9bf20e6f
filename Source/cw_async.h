#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>

/// Completion token for co_await that stores the error in `failure` instead of throwing it.
[[nodiscard]] inline auto cw_redirect_error(boost::system::error_code& failure) {
    return boost::asio::redirect_error(boost::asio::use_awaitable, failure);
}

/// Suspends the coroutine for the duration; no thread blocks.
[[nodiscard]] inline boost::asio::awaitable<void> cw_pause(boost::asio::io_context& context,
                                                           std::chrono::milliseconds duration) {
    boost::asio::steady_timer timer{context, duration};
    boost::system::error_code failure;
    co_await timer.async_wait(cw_redirect_error(failure));
}
