#pragma once

#include "cw_gateway_options.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

/// The file that holds a gateway's settings; it may change while the process runs.
class cw_settings_file {
public:
    explicit cw_settings_file(std::string path)
        : path_{std::move(path)} {}

    /// Reads the file; all mistakes at once if there are any.
    [[nodiscard]] tl::expected<cw_gateway_options, std::vector<std::string>> read();
    /// True when the file's text is another than read() saw last.
    [[nodiscard]] bool has_changed() const;

private:
    std::string path_;
    std::string last_text_;
};
