#pragma once

#include "cw_error.h"

#include <cstdint>
#include <string>
#include <string_view>

/// What a steward of before answers to its successor: which process it is.
struct cw_succession_reply {
    std::string host;
    std::uint64_t incarnation = 0;

    /// The reply as JSON text.
    [[nodiscard]] std::string to_text() const;
    /// Reads to_text()'s form; the error says what is wrong.
    [[nodiscard]] static cw_result<cw_succession_reply> parse(std::string_view text);
};
