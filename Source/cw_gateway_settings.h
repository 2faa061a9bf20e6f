#pragma once

#include "cw_error.h"
#include "cw_gateway_options.h"

#include <string>
#include <string_view>
#include <vector>

/// Reads a gateway's settings file, a JSON object that Help/cuminwinch-gateway.md explains.
///
/// All mistakes are returned at once, each with the name of the setting and what is allowed.
/// Names that are not known are ignored.
[[nodiscard]] tl::expected<cw_gateway_options, std::vector<std::string>>
cw_read_gateway_settings(std::string_view text);
