#pragma once

#include "cw_async.h"
#include "cw_http_message.h"
#include "cw_request_check.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/write.hpp>

/// Answers a request that must not be forwarded and takes what else arrives until the caller ends
/// the connection or the caller's deadline passes.
///
/// A connection that is closed with unread bytes is reset, and the answer may be lost with it.
/// Operations on the socket must be bounded by the caller of this function.
inline boost::asio::awaitable<void> cw_reject(boost::asio::ip::tcp::socket& caller,
                                              cw_request_mistake mistake) {
    auto answer =
        cw_make_response(mistake.status, std::string{mistake.reason} + "\n", "text/plain");
    answer.keep_alive(false);
    boost::system::error_code failure;
    co_await boost::beast::http::async_write(caller, answer, cw_redirect_error(failure));
    if (!failure) {
        caller.shutdown(boost::asio::ip::tcp::socket::shutdown_send, failure);
    }
    std::array<char, 4'096> unread{};
    while (!failure) {
        co_await caller.async_read_some(boost::asio::buffer(unread), cw_redirect_error(failure));
    }
}
