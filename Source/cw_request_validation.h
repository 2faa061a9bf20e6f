#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/system/error_code.hpp>
#include <optional>

/// A reason not to forward a request, and the status that tells the caller.
struct cw_request_error {
    boost::beast::http::status status{};
    const char* reason = "";
};

/// Checks what the HTTP parser lets pass although an upstream might read it in another way, such as
/// an unknown transfer coding or a missing host name. Nothing when the header is in order.
[[nodiscard]] std::optional<cw_request_error>
cw_validate_request(const boost::beast::http::request_header<>& header, bool is_chunked);

/// The answer to bytes that cannot be parsed; nothing when the connection ended or failed instead.
[[nodiscard]] std::optional<cw_request_error>
cw_parse_error(const boost::system::error_code& failure);
