#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

/// Completion token for co_await that stores the error in place of throwing it.
[[nodiscard]] inline auto cw_into(boost::system::error_code& failure) {
    return boost::asio::redirect_error(boost::asio::use_awaitable, failure);
}
