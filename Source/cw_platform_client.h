#pragma once

#include "cw_config_file.h"
#include "cw_config_head.h"
#include "cw_error.h"
#include "cw_host.h"
#include "cw_slice_table.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// The head record of the configuration with its version in the store; 0 when there is no record.
struct cw_stored_head {
    std::uint64_t store_version = 0;
    cw_config_head head;
};

/// Status reported by the keeper of one entry host.
struct cw_host_status {
    std::string host;
    /// Not an object when the keeper did not answer.
    nlohmann::json status;
};

/// Reads the state of the platform and of the entry hosts for the operators' client. Calls block
/// and run one after the other, with a timeout of 3 s for a store call and 1 s for any other.
class cw_platform_client {
public:
    /// `platform` is "IP:port" of the store and host list.
    explicit cw_platform_client(std::string platform)
        : platform_{std::move(platform)} {}

    /// The head record of the current configuration.
    [[nodiscard]] cw_result<cw_stored_head> read_head();
    /// The files that the head record names.
    [[nodiscard]] cw_result<std::vector<cw_config_file>> read_parts(const cw_config_head& head);
    /// The platform's host list.
    [[nodiscard]] cw_result<std::vector<cw_host>> hosts();
    /// The status of each entry host, including hosts that do not answer.
    [[nodiscard]] cw_result<std::vector<cw_host_status>> host_statuses();
    /// The slice table of a service; an error when the store has none.
    [[nodiscard]] cw_result<cw_slice_table> table(const std::string& service);
    /// Response body of a GET request to the process at `address` ("IP:port").
    [[nodiscard]] cw_result<std::string> get(const std::string& address, const std::string& target);

private:
    std::string platform_;
    boost::asio::io_context context_;
};
