#pragma once

#include "cw_error.h"
#include "cw_lease_grant.h"
#include "cw_lease_reply.h"

#include <string>
#include <string_view>

/// JSON bodies of the upstreams' lease interface; decoding malformed text is an error.
/// docs/UPSTREAMS.md describes each field.
[[nodiscard]] std::string cw_encode_grant(const cw_lease_grant& grant);
[[nodiscard]] cw_result<cw_lease_grant> cw_decode_grant(std::string_view text);
[[nodiscard]] std::string cw_encode_reply(const cw_lease_reply& reply);
[[nodiscard]] cw_result<cw_lease_reply> cw_decode_reply(std::string_view text);
