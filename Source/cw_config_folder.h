#pragma once

#include "cw_config_file.h"
#include "cw_error.h"

#include <string>
#include <vector>

/// Reads the files `*.toml` of a folder, by name.
[[nodiscard]] cw_result<std::vector<cw_config_file>>
cw_read_config_folder(const std::string& folder);
