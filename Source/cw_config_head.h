#pragma once

#include "cw_error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// An accepted version in the head record's history.
struct cw_config_history_entry {
    std::uint64_t version = 0;
    std::chrono::system_clock::time_point accepted;
    std::string author;
};

/// The store record that names the current configuration. A conditional (compare-and-set) write of
/// this record accepts a new version. The record refers to each file by its content digest.
struct cw_config_head {
    std::uint64_t version = 0;
    /// Digest of each file, by file name.
    std::map<std::string, std::string> parts;
    /// Unique id of the write that produced this record. A client whose reply was lost compares it
    /// to learn whether its write took effect.
    std::string writer;
    /// The most recent versions, newest last.
    std::vector<cw_config_history_entry> history;

    [[nodiscard]] std::string to_json() const;
    /// Returns an error when the text is not JSON or a field is missing or of the wrong type.
    [[nodiscard]] static cw_result<cw_config_head> parse(std::string_view text);
};

/// Content digest under which a file of a configuration is stored: the 128-bit XXH3 hash as 32
/// hexadecimal digits.
[[nodiscard]] std::string cw_config_digest(std::string_view text);
