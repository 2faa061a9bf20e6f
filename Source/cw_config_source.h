#pragma once

#include "cw_config.h"
#include "cw_config_file.h"
#include "cw_config_head.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

class cw_store_client;

/// A complete configuration with the files it was parsed from.
struct cw_loaded_config {
    std::shared_ptr<const cw_config> config;
    std::vector<cw_config_file> files;
};

/// Loads complete configurations from the store. The parts of the version loaded last are cached by
/// digest and not read again.
class cw_config_source {
public:
    explicit cw_config_source(cw_store_client& store)
        : store_{store} {}

    /// Reads all parts that the head names and parses them. Returns an error, never a partial
    /// configuration, when the store fails, a part does not match its digest or the configuration
    /// is invalid.
    boost::asio::awaitable<cw_result<cw_loaded_config>> load(cw_config_head head,
                                                             cw_time_point deadline);

private:
    cw_store_client& store_;
    /// Text of each part of the version loaded last, by digest.
    std::map<std::string, std::string> parts_;
};

/// Encodes the files of a version as one JSON object, the form in which keepers forward complete
/// versions.
[[nodiscard]] nlohmann::json cw_make_config_bundle(const std::vector<cw_config_file>& files,
                                                   std::uint64_t version);
/// Parses a bundle. Returns an error when it is malformed or the configuration is invalid.
[[nodiscard]] cw_result<cw_loaded_config> cw_parse_config_bundle(std::string_view text);
/// Encodes a version as a delta: a file whose digest is in `known_digests` is sent without its
/// text.
[[nodiscard]] nlohmann::json cw_make_config_delta(const std::vector<cw_config_file>& files,
                                                  std::uint64_t version,
                                                  const std::set<std::string>& known_digests);
/// Completes a delta with the files that the receiver already has. The error names a file whose
/// text is missing or does not match its digest.
[[nodiscard]] cw_result<cw_loaded_config>
cw_parse_config_delta(std::string_view text, const std::vector<cw_config_file>& known_files);
/// Like cw_parse_config_bundle(), for JSON that is already parsed.
[[nodiscard]] cw_result<cw_loaded_config> cw_config_bundle_from_json(const nlohmann::json& bundle);

/// Parses the files as one configuration of the given version. The error holds the first issue.
[[nodiscard]] cw_result<cw_loaded_config> cw_assemble_config(std::vector<cw_config_file> files,
                                                             std::uint64_t version);
