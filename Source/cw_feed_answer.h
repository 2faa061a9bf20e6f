#pragma once

#include "cw_error.h"
#include "cw_reader_selector.h"
#include "cw_upstream_delta.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

/// Path under which a host tells the others of its failure domain what it reads in the store.
inline constexpr std::string_view cw_feed_path{"/v1/feed"};

/// What of it a host asks for. A configuration is asked for by itself: it may take longer than a
/// reader may be silent.
enum class cw_feed_part { entries, config, status };

[[nodiscard]] std::string_view cw_feed_part_name(cw_feed_part part);
/// Entries for a name that is not known.
[[nodiscard]] cw_feed_part cw_feed_part_from_name(std::string_view name);

/// What a reader answers to a host of its failure domain.
struct cw_feed_answer {
    cw_reader_status status;
    cw_upstream_delta delta;
    /// Version of the reader's configuration; 0 when it has none.
    std::uint64_t config_version = 0;
    /// The operators' configuration as the store holds it; null unless it was asked for.
    nlohmann::json config;

    /// The answer as JSON text.
    [[nodiscard]] std::string to_text(cw_boot_time now) const;
    /// Reads to_text()'s form; the error says what is wrong.
    [[nodiscard]] static cw_result<cw_feed_answer> parse(std::string_view text, cw_boot_time now);
};
