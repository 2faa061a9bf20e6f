#pragma once

#include "cw_error.h"
#include "cw_evacuation_set.h"
#include "cw_reader_selector.h"
#include "cw_upstream_delta.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

/// Path at which a reader serves what it reads in the store to the hosts of its failure domain.
inline constexpr std::string_view cw_feed_path{"/v1/feed"};

/// Content that a host requests from a reader. A configuration has a request of its own, since its
/// transfer may take longer than the time in which a reader must answer. Every answer contains the
/// reader's status; `status` requests nothing else.
enum class cw_feed_part { entries, config, status };

/// Value of the request's query parameter "part".
[[nodiscard]] std::string_view cw_feed_part_name(cw_feed_part part);
/// Inverse of cw_feed_part_name(); `entries` for an unknown name.
[[nodiscard]] cw_feed_part cw_feed_part_from_name(std::string_view name);

/// A reader's answer to a host of its failure domain.
struct cw_feed_answer {
    cw_reader_status status;
    /// Time from the arrival of the request until this answer.
    std::chrono::milliseconds held{0};
    cw_upstream_delta delta;
    /// Version of the reader's configuration; 0 if it has none.
    std::uint64_t config_version = 0;
    /// Position of the store as of which that version is the latest; not known from hosts that run
    /// an earlier release.
    cw_store_position config_position;
    /// The operators' configuration as stored; null unless the request was for `config`, the reader
    /// has a newer one, and `config_deltas` is null. Set by parse() only.
    nlohmann::json config;
    /// The same as JSON text, for to_json(); empty for none.
    std::string config_text;
    /// The deltas that make the reader's configuration from the one that the host named.
    nlohmann::json config_deltas;
    /// The evacuated failure domains; none from a host that does not know them, since it runs an
    /// earlier release or its deployment has no evacuations.
    std::optional<cw_evacuation_set> evacuations;
    /// Time for which a change of these may have been unknown to the reader.
    std::chrono::milliseconds evacuations_lag{0};

    /// When the host that asked sent its request; set by that host.
    cw_boot_time sent_at{};

    /// Earliest moment at which the reader can have made this answer.
    [[nodiscard]] cw_boot_time made_at() const { return sent_at + held; }
    /// True if the answer has a newer configuration, whole or as deltas.
    [[nodiscard]] bool has_config() const { return !config.is_null() || !config_deltas.is_null(); }
    /// The answer as JSON text; warm-up times are relative to `now`.
    [[nodiscard]] std::string to_json(cw_boot_time now) const;
    /// Parses the output of to_json(). Fails if a member is missing or has the wrong type.
    [[nodiscard]] static cw_result<cw_feed_answer> parse(std::string_view text, cw_boot_time now);
};
