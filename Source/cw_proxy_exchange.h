#pragma once

#include "cw_attempt.h"
#include "cw_http_message.h"
#include "cw_request_validation.h"
#include "cw_route_view.h"
#include "cw_time.h"

#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using cw_request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Bodies of requests and answers up to this size in bytes are buffered. Larger ones and those of
/// unknown length are streamed.
inline constexpr std::uint64_t cw_max_buffered_body = 262'144;
/// Time without progress after which a caller's connection is closed.
inline constexpr std::chrono::seconds cw_caller_timeout{60};

/// One caller's request with its response, and the state of its processing in a router.
struct cw_proxy_exchange {
    cw_http_request request;
    /// Set when the body is streamed; its bytes have not yet been read from the caller's
    /// connection.
    cw_request_parser* streamed_body = nullptr;
    /// True when streaming of the body has begun, so it cannot be sent again.
    bool body_consumed = false;
    cw_route route;
    std::shared_ptr<const cw_route_view> view;
    /// "IP:port" of the upstream of the current attempt.
    std::string upstream_address;
    /// Addresses of the upstreams at which an attempt has failed.
    std::vector<std::string> failed_upstreams;
    cw_time_point started;
    cw_time_point deadline;
    cw_retry_state state;
    /// Set when the streamed body is not valid HTTP.
    std::optional<cw_request_error> caller_error;
    /// The complete answer of the upstream, or the router's own.
    cw_http_response answer;
    /// True when the answer has been streamed to the caller, completely or in part.
    bool streamed_answer = false;
    /// Reason of the last failure, for the caller.
    std::string reason;
    /// Retry-after time for a refused caller; zero for the default, the time that it takes to
    /// replace a lost upstream.
    std::chrono::milliseconds retry_after{0};
};
