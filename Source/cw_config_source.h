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

/// A whole configuration with the files it came from.
struct cw_loaded_config {
    std::shared_ptr<const cw_config> config;
    std::vector<cw_config_file> files;
};

/// Loads whole configurations from the store. Parts already held are not read again.
class cw_config_source {
public:
    explicit cw_config_source(cw_store_client& store)
        : store_{store} {}

    /// All of the version that the head names, or an error; never a part of it.
    boost::asio::awaitable<cw_result<cw_loaded_config>> load(cw_config_head head,
                                                             cw_time_point deadline);

private:
    cw_store_client& store_;
    std::map<std::string, std::string> parts_;
};

/// The files of a version as one JSON object, and back; keepers hand whole versions on in this
/// form.
[[nodiscard]] nlohmann::json cw_make_config_bundle(const std::vector<cw_config_file>& files,
                                                   std::uint64_t version);
[[nodiscard]] cw_result<cw_loaded_config> cw_parse_config_bundle(std::string_view text);
/// The same without the texts of files that the receiver holds; it names them by digest.
[[nodiscard]] nlohmann::json cw_make_config_delta(const std::vector<cw_config_file>& files,
                                                  std::uint64_t version,
                                                  const std::set<std::string>& held);
/// Completes a delta with the files held, or says which one is missing.
[[nodiscard]] cw_result<cw_loaded_config>
cw_parse_config_delta(std::string_view text, const std::vector<cw_config_file>& held);
[[nodiscard]] cw_result<cw_loaded_config> cw_read_config_bundle(const nlohmann::json& bundle);

/// Parses the files as one configuration of the given version.
[[nodiscard]] cw_result<cw_loaded_config> cw_assemble_config(std::vector<cw_config_file> files,
                                                             std::uint64_t version);
