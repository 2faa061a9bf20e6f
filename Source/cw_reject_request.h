#pragma once

#include "cw_async.h"
#include "cw_http_message.h"
#include "cw_request_validation.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/write.hpp>

/// Answers a request that must not be forwarded, then reads and discards the rest of the input
/// until the peer closes the connection or an operation on the socket is cancelled.
///
/// Closing a connection with unread bytes would reset it, and the answer could be lost. The calling
/// function must limit the time of operations on the socket.
inline boost::asio::awaitable<void> cw_reject_request(boost::asio::ip::tcp::socket& caller,
                                                      cw_request_error error) {
    auto answer = cw_make_response(error.status, std::string{error.reason} + "\n", "text/plain");
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
