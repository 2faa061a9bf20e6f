#pragma once

#include "cw_answer_facts.h"
#include "cw_call_facts.h"
#include "cw_http_message.h"

#include <chrono>
#include <concepts>
#include <string>

/// How requests and answers say what a gateway has to know: header names and status codes.
template <typename Dialect>
concept cw_gateway_dialect = requires(cw_http_request& request, const cw_http_request& seen,
                                      cw_http_response& response, const cw_http_response& answer,
                                      const std::string& text, std::chrono::milliseconds time) {
    { Dialect::facts_of(seen) } -> std::same_as<cw_call_facts>;
    // Names the upstream that is meant and states the time that is left.
    Dialect::set_forwarding_headers(request, text, time);
    { Dialect::facts_of(answer, text) } -> std::same_as<cw_answer_facts>;
    // Tells a refused caller when to come back.
    Dialect::set_retry_after(response, time);
    // Names the caller's attempt in an answer of the gateway's own.
    Dialect::set_attempt_id(response, text);
};
