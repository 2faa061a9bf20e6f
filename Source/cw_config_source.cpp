#include "cw_config_source.h"

#include "cw_config_parser.h"
#include "cw_store_client.h"
#include "cw_store_key.h"

#include <nlohmann/json.hpp>

cw_result<cw_loaded_config> cw_assemble_config(std::vector<cw_config_file> files,
                                               std::uint64_t version) {
    auto parsed = cw_config_parser::parse(files);
    if (!parsed) {
        return tl::unexpected(cw_error{"parse config", "version " + std::to_string(version),
                                       parsed.error().front().line_text()});
    }
    auto config = std::make_shared<cw_config>(std::move(*parsed));
    config->version = version;
    return cw_loaded_config{std::move(config), std::move(files)};
}

nlohmann::json cw_make_config_bundle(const std::vector<cw_config_file>& files,
                                     std::uint64_t version) {
    auto list = nlohmann::json::array();
    for (const auto& file : files) {
        list.push_back({file.name, file.text});
    }
    return {{"files", std::move(list)}, {"config_version", version}};
}

cw_result<cw_loaded_config> cw_config_bundle_from_json(const nlohmann::json& bundle) {
    try {
        std::vector<cw_config_file> files;
        for (const auto& item : bundle.at("files")) {
            files.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>()});
        }
        return cw_assemble_config(std::move(files),
                                  bundle.at("config_version").get<std::uint64_t>());
    } catch (const nlohmann::json::exception& failure) {
        return tl::unexpected(cw_error{"parse config bundle", "keeper", failure.what()});
    }
}

cw_result<cw_loaded_config> cw_parse_config_bundle(std::string_view text) {
    return cw_config_bundle_from_json(nlohmann::json::parse(text, nullptr, false));
}

nlohmann::json cw_make_config_delta(const std::vector<cw_config_file>& files, std::uint64_t version,
                                    const std::set<std::string>& known_digests) {
    auto list = nlohmann::json::array();
    for (const auto& file : files) {
        const auto digest = cw_config_digest(file.text);
        if (known_digests.contains(digest)) {
            list.push_back({file.name, digest, nullptr});
        } else {
            list.push_back({file.name, digest, file.text});
        }
    }
    return {{"parts", std::move(list)}, {"config_version", version}};
}

cw_result<cw_loaded_config> cw_parse_config_delta(std::string_view text,
                                                  const std::vector<cw_config_file>& known_files) {
    std::map<std::string, std::string> known_texts;
    for (const auto& file : known_files) {
        known_texts[cw_config_digest(file.text)] = file.text;
    }
    const auto delta = nlohmann::json::parse(text, nullptr, false);
    // Keepers of an earlier release do not support deltas and send complete bundles.
    if (delta.is_object() && delta.contains("files")) {
        return cw_config_bundle_from_json(delta);
    }
    try {
        std::vector<cw_config_file> files;
        for (const auto& item : delta.at("parts")) {
            const auto name = item.at(0).get<std::string>();
            const auto digest = item.at(1).get<std::string>();
            if (!item.at(2).is_null()) {
                known_texts[digest] = item.at(2).get<std::string>();
            }
            const auto found = known_texts.find(digest);
            if (found == known_texts.end() || cw_config_digest(found->second) != digest) {
                return tl::unexpected(cw_error{"parse config delta", "keeper",
                                               "part " + name + " is missing or damaged"});
            }
            files.push_back({name, found->second});
        }
        return cw_assemble_config(std::move(files),
                                  delta.at("config_version").get<std::uint64_t>());
    } catch (const nlohmann::json::exception& failure) {
        return tl::unexpected(cw_error{"parse config delta", "keeper", failure.what()});
    }
}

boost::asio::awaitable<cw_result<cw_loaded_config>> cw_config_source::load(cw_config_head head,
                                                                           cw_time_point deadline) {
    std::map<std::string, std::string> loaded_parts;
    std::vector<cw_config_file> files;
    for (const auto& [name, digest] : head.parts) {
        auto cached = parts_.find(digest);
        if (cached == parts_.end()) {
            const auto value = co_await store_.read(cw_config_part_key(digest), deadline);
            if (!value) {
                co_return tl::unexpected(value.error());
            }
            if (cw_config_digest(value->value) != digest) {
                co_return tl::unexpected(cw_error{"load config", "store",
                                                  "part " + name + " does not match its digest"});
            }
            cached = parts_.emplace(digest, value->value).first;
        }
        loaded_parts[digest] = cached->second;
        files.push_back({name, cached->second});
    }
    parts_ = std::move(loaded_parts);
    co_return cw_assemble_config(std::move(files), head.version);
}
