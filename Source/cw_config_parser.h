#pragma once

#include "cw_config.h"
#include "cw_config_file.h"
#include "cw_config_issue.h"

#include <span>
#include <tl/expected.hpp>
#include <vector>

/// Parses all files of a configuration and reports all errors at once.
class cw_config_parser {
public:
    /// The configuration, or all issues: first those within single tables in the order of the
    /// files, then those that span several tables.
    [[nodiscard]] static tl::expected<cw_config, std::vector<cw_config_issue>>
    parse(std::span<const cw_config_file> files);
};
