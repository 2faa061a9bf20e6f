#pragma once

#include "cw_config_file.h"
#include "cw_config_head.h"
#include "cw_error.h"
#include "cw_platform_client.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

/// Exit codes of the operators' client. They do not change between versions.
enum class cw_client_exit : int {
    done = 0,
    /// The platform or a keeper could not be reached, or answered with an error.
    failed = 1,
    /// The command line is invalid.
    usage = 2,
    /// The configuration is invalid; nothing was changed.
    invalid = 3,
    /// Another operator's version was accepted meanwhile; nothing was changed.
    conflict = 4,
    /// Accepted, but not in force on all reachable hosts within the maximum wait.
    not_everywhere = 5
};

/// Settings of one run of the client.
struct cw_client_options {
    /// "IP:port" of the platform.
    std::string platform;
    bool json = false;
    /// True when `apply` waits until the version is in force on all reachable hosts.
    bool wait = false;
    std::chrono::milliseconds max_wait{};
    std::string author;
    /// Version that must be in force for `apply` to replace it; nullopt when any version may be
    /// replaced.
    std::optional<std::uint64_t> expected_version;
};

/// The commands of the operators' command-line client. Each prints its result and returns the
/// program's exit code.
class cw_client {
public:
    explicit cw_client(cw_client_options options)
        : options_{std::move(options)},
          platform_{options_.platform} {}

    cw_client_exit validate(const std::string& folder);
    cw_client_exit plan(const std::string& folder);
    cw_client_exit apply(const std::string& folder);
    cw_client_exit status();
    cw_client_exit history();
    cw_client_exit show();
    cw_client_exit owners(const std::string& service);
    cw_client_exit explain(const std::string& service, const std::string& key);
    cw_client_exit timeline();

private:
    /// Parses the files; prints all issues and returns false when there are any.
    bool is_valid(const std::vector<cw_config_file>& files);
    /// Writes the files to the store under their digests.
    cw_result<void> write_parts(const std::vector<cw_config_file>& files);
    /// Replaces the head record `base` by `next`, which makes the new version current.
    cw_client_exit publish_head(const cw_stored_head& base, cw_config_head next);
    /// Polls the entry hosts until all reachable ones use the version, or for the maximum wait.
    cw_client_exit wait_until_in_force(std::uint64_t version);
    cw_client_exit report_error(const cw_error& error) const;
    void print(const nlohmann::json& value, const std::string& text) const;

    cw_client_options options_;
    cw_platform_client platform_;
    boost::asio::io_context context_;
};
