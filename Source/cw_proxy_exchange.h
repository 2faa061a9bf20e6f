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

/// Requests and answers up to this size are held whole.
inline constexpr std::uint64_t cw_max_buffered_body = 262'144;
/// Silence of a caller after which its connection is ended.
inline constexpr std::chrono::seconds cw_caller_timeout{60};

/// One caller's request on its way through the router.
struct cw_proxy_exchange {
    cw_http_request request;
    /// Set when the body is too large to hold; its bytes are still on the caller's connection.
    cw_request_parser* streamed_body = nullptr;
    /// True once the body has been read off the caller's connection.
    bool body_consumed = false;
    cw_route route;
    std::shared_ptr<const cw_route_view> view;
    std::string upstream_address;
    /// Upstreams that an attempt has failed at.
    std::vector<std::string> failed_upstreams;
    cw_time_point started;
    cw_time_point deadline;
    cw_retry_state state;
    /// Set when the caller's body turned out to be no HTTP.
    std::optional<cw_request_error> caller_error;
    /// The whole answer, once there is one.
    cw_http_response answer;
    /// True when the answer has been streamed to the caller already.
    bool streamed_answer = false;
    /// What an upstream or the network said last, for the caller and the log.
    std::string reason;
    /// When a refused caller should come back; zero for the time that a loss takes.
    std::chrono::milliseconds retry_after{0};
};
