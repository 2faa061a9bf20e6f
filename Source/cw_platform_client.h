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

/// The head record with the version under which the store holds it; 0 for none.
struct cw_stored_head {
    std::uint64_t store_version = 0;
    cw_config_head head;
};

/// What one entry host's keeper says of itself.
struct cw_host_status {
    std::string host;
    /// Not an object when the keeper did not answer.
    nlohmann::json status;
};

/// Reads what the platform and the entry hosts tell, one call after the other. For the operators'
/// client.
class cw_platform_client {
public:
    /// `platform` is "IP:port" of the store and host list.
    explicit cw_platform_client(std::string platform)
        : platform_{std::move(platform)} {}

    [[nodiscard]] cw_result<cw_stored_head> read_head();
    [[nodiscard]] cw_result<std::vector<cw_config_file>> read_parts(const cw_config_head& head);
    [[nodiscard]] cw_result<std::vector<cw_host>> hosts();
    [[nodiscard]] cw_result<std::vector<cw_host_status>> host_statuses();
    [[nodiscard]] cw_result<cw_slice_table> table(const std::string& service);
    /// A page of a process of ours at "IP:port".
    [[nodiscard]] cw_result<std::string> get(const std::string& address, const std::string& target);

private:
    std::string platform_;
    boost::asio::io_context context_;
};
