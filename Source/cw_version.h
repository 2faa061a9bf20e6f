#pragma once

#include <string_view>

/// Version of all programs; they are released together.
inline constexpr std::string_view cw_version = "0.1.0";
