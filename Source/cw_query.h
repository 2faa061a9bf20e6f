#pragma once

#include <charconv>
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
    const auto text = cw_query_value(target, name);
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return !text.empty() && result.ec == std::errc{} && result.ptr == end ? value : fallback;
}
