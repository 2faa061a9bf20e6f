#pragma once

#include "cw_error.h"
#include "cw_host.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>
#include <vector>

/// Parses the platform's host list, a JSON array; an error if it is malformed. The list may be out
/// of date.
[[nodiscard]] cw_result<std::vector<cw_host>> cw_parse_host_list(std::string_view text);

/// The JSON object that describes one host.
[[nodiscard]] nlohmann::json cw_host_to_json(const cw_host& host);
