#pragma once

#include <cstdint>
#include <string>

/// One mistake in a configuration, placed so that an operator can go to it.
struct cw_config_issue {
    std::string file;
    std::uint32_t line = 0;
    /// What is wrong and what is allowed.
    std::string text;

    [[nodiscard]] std::string line_text() const {
        return file + ":" + std::to_string(line) + ": " + text;
    }
};
