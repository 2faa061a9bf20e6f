#pragma once

#include "cw_error.h"
#include "cw_gateway_options.h"

#include <string>
#include <string_view>
#include <vector>

/// Parses the text of a gateway's settings file, a JSON object described in
/// Help/cuminwinch-gateway.md.
///
/// Returns all errors at once, each with the name of the setting and the allowed values. Unknown
/// settings are ignored.
[[nodiscard]] tl::expected<cw_gateway_options, std::vector<std::string>>
cw_read_gateway_settings(std::string_view text);
