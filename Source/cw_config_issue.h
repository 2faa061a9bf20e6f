#pragma once

#include <cstdint>
#include <string>

/// One error in a configuration, with its position.
struct cw_config_issue {
    std::string file;
    /// Line number, counted from 1; 0 when the issue concerns the whole folder.
    std::uint32_t line = 0;
    /// What is wrong and what is allowed.
    std::string text;

    /// The issue as "FILE:LINE: TEXT".
    [[nodiscard]] std::string line_text() const {
        return file + ":" + std::to_string(line) + ": " + text;
    }
};
