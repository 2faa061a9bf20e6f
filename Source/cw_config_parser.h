#pragma once

#include "cw_config.h"
#include "cw_config_file.h"
#include "cw_config_issue.h"

#include <span>
#include <tl/expected.hpp>
#include <vector>

/// Reads all files of a configuration and reports every mistake at once.
class cw_config_parser {
public:
    /// The configuration, or all issues found in file order.
    [[nodiscard]] static tl::expected<cw_config, std::vector<cw_config_issue>>
    parse(std::span<const cw_config_file> files);
};
