#pragma once

#include "cw_answer_metadata.h"
#include "cw_call_metadata.h"
#include "cw_http_message.h"

#include <chrono>
#include <concepts>
#include <string>

/// The HTTP protocol of one platform: which header fields and status codes carry the metadata that
/// the gateway reads from and writes to requests and answers.
template <typename Dialect>
concept cw_gateway_dialect = requires(cw_http_request& request,
                                      const cw_http_request& received_request,
                                      cw_http_response& response, const cw_http_response& answer,
                                      const std::string& text, std::chrono::milliseconds time) {
    { Dialect::metadata_of(received_request) } -> std::same_as<cw_call_metadata>;
    // Adds the id of the intended upstream and the time left until the deadline.
    Dialect::set_forwarding_headers(request, text, time);
    { Dialect::metadata_of(answer, text) } -> std::same_as<cw_answer_metadata>;
    // Sets the time after which a refused caller may retry.
    Dialect::set_retry_after(response, time);
    // Echoes the caller's attempt id in an answer that the gateway itself produces.
    Dialect::set_attempt_id(response, text);
};
