#pragma once

#include "cw_gateway_options.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

/// A gateway's settings file, which may change while the process runs.
class cw_settings_file {
public:
    explicit cw_settings_file(std::string path)
        : path_{std::move(path)} {}

    /// Reads and parses the file; returns all errors at once.
    [[nodiscard]] tl::expected<cw_gateway_options, std::vector<std::string>> read();
    /// True when the file's text differs from the one that read() saw last.
    [[nodiscard]] bool has_changed() const;

private:
    std::string path_;
    std::string last_text_;
};
