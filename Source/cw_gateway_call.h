#pragma once

#include "cw_buffer_budget.h"
#include "cw_gateway_exchange.h"
#include "cw_pipeline_order.h"

#include <boost/beast/http/status.hpp>

/// One request of a caller's connection while it is in progress, and what is to be answered.
struct cw_gateway_call {
    /// What the caller gets.
    enum class outcome {
        /// The upstream's answer.
        answer,
        /// A refusal: the request did not run.
        refusal,
        /// An error answer with `error_status`.
        error,
        /// Nothing: the caller has left, or the answer cannot be delivered.
        none
    };

    explicit cw_gateway_call(cw_buffer_budget& request_budget)
        : memory{request_budget, {}} {}

    /// Memory of the request.
    cw_buffer_budget::buffer memory;
    cw_gateway_exchange exchange;
    cw_pipeline_order::number number = 0;
    /// False if the caller wants the connection to be closed after the answer.
    bool keep_alive = true;
    /// True when it is known what the caller gets.
    bool has_ended = false;
    outcome result = outcome::none;
    boost::beast::http::status error_status{};
};
