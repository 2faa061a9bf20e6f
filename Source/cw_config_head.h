#pragma once

#include "cw_error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// One accepted version in the head record's history.
struct cw_config_history_entry {
    std::uint64_t version = 0;
    std::chrono::system_clock::time_point accepted;
    std::string author;
};

/// The one record whose conditional update accepts a configuration. Its parts are named by content.
struct cw_config_head {
    std::uint64_t version = 0;
    /// Digest of each file, by file name.
    std::map<std::string, std::string> parts;
    /// Write that produced this record, so that a lost reply can be recognised.
    std::string writer;
    /// Latest versions, newest last.
    std::vector<cw_config_history_entry> history;

    [[nodiscard]] std::string to_json() const;
    [[nodiscard]] static cw_result<cw_config_head> parse(std::string_view text);
};

/// Digest that names a part of a configuration.
[[nodiscard]] std::string cw_config_digest(std::string_view text);
