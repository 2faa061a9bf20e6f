#pragma once

#include "cw_shared_load.h"

#include <nlohmann/json.hpp>
#include <vector>

/// The loads as a JSON array of arrays, as reports and replies of stewards carry them.
[[nodiscard]] nlohmann::json cw_shared_loads_to_json(const std::vector<cw_shared_load>& loads);
/// Parses the result of cw_shared_loads_to_json(). Throws nlohmann::json::exception if an element
/// is missing or has the wrong type.
[[nodiscard]] std::vector<cw_shared_load> cw_shared_loads_from_json(const nlohmann::json& value);
