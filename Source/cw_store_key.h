#pragma once

#include <string>
#include <string_view>

/// Keys of the project's records in the platform's store.
[[nodiscard]] inline std::string cw_ring_key(std::string_view domain) {
    return "ring/" + std::string{domain};
}
[[nodiscard]] inline std::string cw_table_key(std::string_view service) {
    return "table/" + std::string{service};
}
inline constexpr std::string_view cw_config_head_key = "config/head";
[[nodiscard]] inline std::string cw_config_part_key(std::string_view digest) {
    return "config/part/" + std::string{digest};
}
