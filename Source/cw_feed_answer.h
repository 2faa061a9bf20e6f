#pragma once

#include "cw_error.h"
#include "cw_reader_choice.h"
#include "cw_upstream_news.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

/// Path under which a host tells the others of its failure domain what it reads in the store.
inline constexpr std::string_view cw_feed_path{"/v1/feed"};

/// What a reader answers to a host of its failure domain.
struct cw_feed_answer {
    cw_reader_word word;
    cw_upstream_news news;
    /// The operators' configuration as the store holds it; null when the host knows it.
    nlohmann::json config;

    /// The answer as JSON text.
    [[nodiscard]] std::string to_text(cw_boot_time now) const;
    /// Reads to_text()'s form; the error says what is wrong.
    [[nodiscard]] static cw_result<cw_feed_answer> parse(std::string_view text, cw_boot_time now);
};
