#include "cw_config_head.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <xxhash.h>

std::string cw_config_head::to_json() const {
    auto list = nlohmann::json::array();
    for (const auto& entry : history) {
        const auto micros =
            std::chrono::duration_cast<std::chrono::microseconds>(entry.accepted.time_since_epoch())
                .count();
        list.push_back({{"version", entry.version}, {"time_us", micros}, {"author", entry.author}});
    }
    return nlohmann::json{
        {"version", version}, {"parts", parts}, {"writer", writer}, {"history", list}}
        .dump();
}

cw_result<cw_config_head> cw_config_head::parse(std::string_view text) {
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    try {
        cw_config_head head;
        head.version = parsed.at("version").get<std::uint64_t>();
        head.parts = parsed.at("parts").get<std::map<std::string, std::string>>();
        head.writer = parsed.at("writer").get<std::string>();
        for (const auto& item : parsed.at("history")) {
            const std::chrono::microseconds micros{item.at("time_us").get<std::int64_t>()};
            head.history.push_back({item.at("version").get<std::uint64_t>(),
                                    std::chrono::system_clock::time_point{micros},
                                    item.at("author").get<std::string>()});
        }
        return head;
    } catch (const nlohmann::json::exception& failure) {
        return tl::unexpected(cw_error{"parse config head", "store", failure.what()});
    }
}

std::string cw_config_digest(std::string_view text) {
    const auto hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return digits.data();
}
