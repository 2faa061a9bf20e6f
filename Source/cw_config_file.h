#pragma once

#include <string>

/// One file of a configuration folder.
struct cw_config_file {
    /// File name within the folder.
    std::string name;
    std::string text;
};
