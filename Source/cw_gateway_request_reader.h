#pragma once

#include "cw_buffer_budget.h"
#include "cw_caller_limits.h"
#include "cw_request_validation.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>

class cw_gateway_traffic;
class cw_socket_timeout;

/// Reads the next request of a caller's connection while none is in progress, and answers one that
/// is invalid or does not arrive in time.
class cw_gateway_request_reader {
public:
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// All arguments must outlive the reader.
    cw_gateway_request_reader(cw_gateway_traffic& traffic, boost::asio::ip::tcp::socket& caller,
                              boost::beast::flat_buffer& buffer, cw_socket_timeout& timeout)
        : traffic_{traffic},
          caller_{caller},
          buffer_{buffer},
          timeout_{timeout} {}

    /// Reads one request, whose memory is counted in `memory`. Returns false when the connection is
    /// to be closed.
    boost::asio::awaitable<bool> read(parser_type& parser, const cw_caller_limits& limits,
                                      cw_buffer_budget::buffer& memory);

private:
    /// Maximum time for a caller to send a request's body.
    static constexpr std::chrono::seconds transfer_timeout{20};
    /// Maximum time for sending the answer to a rejected request and reading the rest of it.
    static constexpr std::chrono::milliseconds linger_time{500};

    /// Returns false when the connection stayed idle too long or has ended.
    boost::asio::awaitable<bool> wait_for_request(const cw_caller_limits& limits);
    /// Reads the rest of a request, until all requests together need too much memory and this one
    /// is the largest of those that are being read.
    boost::asio::awaitable<boost::system::error_code> read_body(parser_type& parser,
                                                                cw_buffer_budget::buffer& memory);
    /// Responds to an invalid or incomplete request with its error and closes the connection.
    boost::asio::awaitable<void> reject(cw_request_error error);

    cw_gateway_traffic& traffic_;
    boost::asio::ip::tcp::socket& caller_;
    boost::beast::flat_buffer& buffer_;
    cw_socket_timeout& timeout_;
};
