#pragma once

#include "cw_attempt.h"
#include "cw_log.h"

#include <vector>

struct cw_gateway_exchange;

/// Log fields with the data on which the decision about a request was based. The reason of the last
/// failure is left out if the result is an answer.
[[nodiscard]] std::vector<cw_log_field> cw_gateway_log_fields(const cw_gateway_exchange& exchange,
                                                              cw_attempt_result result);
