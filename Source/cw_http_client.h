#pragma once

#include "cw_error.h"
#include "cw_http_message.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// True when a call failed because nothing listens at the peer's address.
[[nodiscard]] bool cw_is_connection_refused(const cw_error& error);

/// True when a call failed before anything of it could arrive.
[[nodiscard]] bool cw_was_never_sent(const cw_error& error);

/// True when a call failed because the answer is larger than a control call's may be.
[[nodiscard]] bool cw_is_response_too_large(const cw_error& error);

/// How often a call may reach its peer.
enum class cw_resend_policy {
    /// Once more when a kept connection breaks on it, as one does that the peer has closed.
    on_broken_connection,
    /// At most once, on a connection of its own.
    never
};

/// A pooled HTTP/1.1 client for control calls. Used from one thread.
///
/// A connection that saw a timeout, an error, or bytes that belong to no call is closed, so a late
/// or second answer meets no later request.
class cw_http_client {
public:
    explicit cw_http_client(boost::asio::io_context& context)
        : context_{context} {}

    /// The whole answer of the peer ("IP:port"), or the step that failed by the deadline.
    boost::asio::awaitable<cw_result<cw_http_response>>
    request(std::string address, cw_http_request message, cw_time_point deadline,
            cw_resend_policy resend = cw_resend_policy::on_broken_connection);

    /// Bytes written and read by all calls so far, headers included.
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

private:
    using stream = boost::beast::tcp_stream;

    /// Makes the call on a connection, and keeps that when nothing stands behind the answer.
    boost::asio::awaitable<cw_result<cw_http_response>>
    try_once(std::unique_ptr<stream>& connection, const std::string& address,
             const cw_http_request& message, cw_time_point deadline);
    void return_to_pool(const std::string& address, std::unique_ptr<stream> connection);
    std::unique_ptr<stream> take_idle_connection(const std::string& address);

    boost::asio::io_context& context_;
    std::map<std::string, std::vector<std::unique_ptr<stream>>> idle_;
    std::uint64_t bytes_ = 0;
};
