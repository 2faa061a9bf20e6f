#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/system/error_code.hpp>
#include <optional>

/// The reason why a request is rejected, with the status of the answer to the caller.
struct cw_request_error {
    boost::beast::http::status status{};
    const char* reason = "";
};

/// Checks for requests that the HTTP parser accepts but an upstream might interpret differently,
/// such as those with an unknown transfer coding or without a host name. Empty when the header is
/// valid.
[[nodiscard]] std::optional<cw_request_error>
cw_validate_request(const boost::beast::http::request_header<>& header, bool is_chunked);

/// Converts a parser error to the answer for the caller. Empty when the connection has ended or
/// failed instead.
[[nodiscard]] std::optional<cw_request_error>
cw_parse_error(const boost::system::error_code& failure);
