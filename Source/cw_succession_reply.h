#pragma once

#include "cw_error.h"

#include <cstdint>
#include <string>
#include <string_view>

/// An earlier steward's acknowledgement of its successor's notice; it identifies the process that
/// sends it, and holds the owners that this process has known.
struct cw_succession_reply {
    std::string host;
    std::uint64_t incarnation = 0;
    /// JSON of the last table of the sender's stewardship; empty if the owners in the successor's
    /// table are certain, if another steward was in between, or from a host of an earlier release.
    std::string table{};

    /// The reply as JSON text.
    [[nodiscard]] std::string to_json() const;
    /// Parses the result of to_json(). Fails if the text is no JSON or a member is missing or has a
    /// wrong type.
    [[nodiscard]] static cw_result<cw_succession_reply> parse(std::string_view text);
};
