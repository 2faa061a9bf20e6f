#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

/// Parses the whole text as a number; nothing when it has another character, such as a sign before
/// an unsigned number, or when the number does not fit the type.
template <typename Number>
[[nodiscard]] std::optional<Number> cw_parse_number(std::string_view text) {
    Number value{};
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc{} && result.ptr == end ? std::optional{value} : std::nullopt;
}
