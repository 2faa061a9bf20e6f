#pragma once

/// Types for complete HTTP messages of the control interfaces, whose bodies are small.

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>

/// Limit, in bytes, of received data that is not parsed yet. A line that never ends is rejected
/// when it reaches the limit.
inline constexpr std::size_t cw_max_read_buffer = 262'144;

using cw_http_request = boost::beast::http::request<boost::beast::http::string_body>;
using cw_http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// A response with a status and a JSON or plain-text body.
[[nodiscard]] cw_http_response cw_make_response(boost::beast::http::status status, std::string body,
                                                const char* content_type = "application/json");
