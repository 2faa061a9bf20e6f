#pragma once

#include "cw_parse_number.h"

#include <cctype>
#include <cstdint>
#include <string>
#include <string_view>

/// The path of a request target, without its query.
[[nodiscard]] inline std::string_view cw_target_path(std::string_view target) {
    return target.substr(0, target.find('?'));
}

/// The value of one query parameter; empty when it is absent.
[[nodiscard]] inline std::string_view cw_query_value(std::string_view target,
                                                     std::string_view name) {
    auto at = target.find('?');
    while (at != std::string_view::npos) {
        const auto rest = target.substr(at + 1);
        const auto pair = rest.substr(0, rest.find('&'));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
            return pair.substr(equals + 1);
        }
        at = target.find('&', at + 1);
    }
    return {};
}

/// The value of an integer query parameter, or `fallback` when it is absent or malformed.
[[nodiscard]] inline std::uint64_t cw_query_number(std::string_view target, std::string_view name,
                                                   std::uint64_t fallback) {
    return cw_parse_number<std::uint64_t>(cw_query_value(target, name)).value_or(fallback);
}

/// A text as a value of a query parameter.
[[nodiscard]] inline std::string cw_percent_encoded(std::string_view value) {
    constexpr std::string_view hex_digits = "0123456789ABCDEF";
    constexpr std::string_view others = "-._~";
    std::string text;
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || others.find(c) != std::string_view::npos) {
            text += c;
        } else {
            text += {'%', hex_digits[byte >> 4U], hex_digits[byte & 15U]};
        }
    }
    return text;
}
