#include "cw_feed_answer.h"

#include <utility>

namespace {
constexpr std::string_view config_name{"config"};
/// Name of the reader's status in the query parameter.
constexpr std::string_view status_name{"word"};

void write_evacuations(nlohmann::json& value, const cw_feed_answer& answer) {
    value["evacuated"] = answer.evacuations->names;
    value["evacuated_era"] = answer.evacuations->position.era;
    value["evacuated_revision"] = answer.evacuations->position.revision;
    value["evacuated_lag_ms"] = answer.evacuations_lag.count();
    if (!answer.evacuations->retained.empty()) {
        value["evacuated_retained"] = answer.evacuations->retained;
    }
}

void read_evacuations(const nlohmann::json& value, cw_feed_answer& answer) {
    using name_set = std::set<std::string>;
    answer.evacuations = cw_evacuation_set{value.at("evacuated").get<name_set>(),
                                           value.value("evacuated_retained", name_set{}),
                                           {value.at("evacuated_era").get<std::uint64_t>(),
                                            value.at("evacuated_revision").get<std::uint64_t>()}};
    answer.evacuations_lag = std::chrono::milliseconds{value.value("evacuated_lag_ms", 0)};
}
} // namespace

std::string_view cw_feed_part_name(cw_feed_part part) {
    switch (part) {
    case cw_feed_part::config:
        return config_name;
    case cw_feed_part::status:
        return status_name;
    case cw_feed_part::entries:
        break;
    }
    return "entries";
}

cw_feed_part cw_feed_part_from_name(std::string_view name) {
    if (name == config_name) {
        return cw_feed_part::config;
    }
    return name == status_name ? cw_feed_part::status : cw_feed_part::entries;
}

std::string cw_feed_answer::to_json(cw_boot_time now) const {
    nlohmann::json value{{"reads_store", status.reads_store},
                         {"store_age_ms", status.store_age.count()},
                         {"store_lost", status.is_store_unreachable},
                         {"entries_lag_ms", status.entries_lag.count()},
                         {"config_lag_ms", status.config_lag.count()},
                         {"held_ms", held.count()},
                         {"config_version", config_version},
                         {"config_era", config_position.era},
                         {"config_revision", config_position.revision},
                         {"upstreams", cw_delta_to_json(delta, now)}};
    if (!config_deltas.is_null()) {
        value["config_deltas"] = config_deltas;
    }
    if (evacuations) {
        write_evacuations(value, *this);
    }
    auto text = value.dump();
    if (!config_text.empty()) {
        // The text of a whole configuration is large and the same for all followers.
        text.pop_back();
        text.append(R"(,"config":)").append(config_text).append("}");
    }
    return text;
}

cw_result<cw_feed_answer> cw_feed_answer::parse(std::string_view text, cw_boot_time now) {
    cw_feed_answer answer;
    try {
        auto value = nlohmann::json::parse(text);
        answer.status.reads_store = value.at("reads_store").get<bool>();
        answer.status.store_age =
            std::chrono::milliseconds{value.at("store_age_ms").get<std::int64_t>()};
        answer.status.is_store_unreachable = value.at("store_lost").get<bool>();
        // Hosts that run an earlier release send neither the lags nor the time for which they held
        // the request.
        const auto store_age = answer.status.store_age.count();
        answer.status.entries_lag =
            std::chrono::milliseconds{value.value("entries_lag_ms", store_age)};
        answer.status.config_lag =
            std::chrono::milliseconds{value.value("config_lag_ms", store_age)};
        answer.held = std::chrono::milliseconds{value.value("held_ms", std::int64_t{0})};
        auto delta = cw_delta_from_json(value.at("upstreams"), now);
        if (!delta) {
            return tl::unexpected(delta.error());
        }
        answer.delta = std::move(*delta);
        // Hosts that run an earlier release do not send the configuration version.
        answer.config_version = value.value("config_version", std::uint64_t{0});
        answer.config_position = {value.value("config_era", std::uint64_t{0}),
                                  value.value("config_revision", std::uint64_t{0})};
        if (value.contains("config")) {
            answer.config = std::move(value.at("config"));
        }
        if (value.contains("config_deltas")) {
            answer.config_deltas = std::move(value.at("config_deltas"));
        }
        if (value.contains("evacuated")) {
            read_evacuations(value, answer);
        }
    } catch (const nlohmann::json::exception& failure) {
        return tl::unexpected(cw_error{"parse a reader's answer", "", failure.what()});
    }
    return answer;
}
