#pragma once

#include "cw_error.h"

#include <cstdint>
#include <string>
#include <string_view>

/// An earlier steward's acknowledgement of its successor's notice; it identifies the process that
/// sends it.
struct cw_succession_reply {
    std::string host;
    std::uint64_t incarnation = 0;

    /// The reply as JSON text.
    [[nodiscard]] std::string to_json() const;
    /// Parses the result of to_json(). Fails if the text is no JSON or a member is missing or has a
    /// wrong type.
    [[nodiscard]] static cw_result<cw_succession_reply> parse(std::string_view text);
};
