#pragma once

#include "cw_config_file.h"
#include "cw_error.h"

#include <string>
#include <vector>

/// Reads all `*.toml` files of a folder, sorted by name. Returns an error when the folder or a file
/// cannot be read, or when there is no such file.
[[nodiscard]] cw_result<std::vector<cw_config_file>>
cw_read_config_folder(const std::string& folder);
