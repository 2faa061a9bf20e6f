#pragma once

#include "cw_answer_metadata.h"
#include "cw_call_metadata.h"
#include "cw_http_message.h"

#include <chrono>
#include <concepts>
#include <string>

/// How requests and answers say what a gateway has to know: header names and status codes.
template <typename Dialect>
concept cw_gateway_dialect = requires(cw_http_request& request, const cw_http_request& seen,
                                      cw_http_response& response, const cw_http_response& answer,
                                      const std::string& text, std::chrono::milliseconds time) {
    { Dialect::metadata_of(seen) } -> std::same_as<cw_call_metadata>;
    // Names the upstream that is meant and states the time that is left.
    Dialect::address_to(request, text, time);
    { Dialect::metadata_of(answer, text) } -> std::same_as<cw_answer_metadata>;
    // Tells a refused caller when to come back.
    Dialect::set_return(response, time);
    // Names the caller's attempt in an answer of the gateway's own.
    Dialect::set_id(response, text);
};
