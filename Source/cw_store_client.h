#pragma once

#include "cw_error.h"
#include "cw_keeper_event.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <string>

class cw_http_client;

/// A value read from the store; version 0 stands for no value.
struct cw_store_value {
    std::uint64_t version = 0;
    std::string value;
};

/// The platform's object store and host list, over HTTP.
class cw_store_client {
public:
    cw_store_client(cw_http_client& http, std::string address)
        : http_{http},
          address_{std::move(address)} {}

    boost::asio::awaitable<cw_result<cw_store_value>> read(std::string key, cw_time_point deadline);
    /// Returns as soon as the key's version passes `known`, or with the present value after `wait`.
    boost::asio::awaitable<cw_result<cw_store_value>> watch(std::string key, std::uint64_t known,
                                                            std::chrono::milliseconds wait);
    /// Writes if the version is the expected one. `unknown` means that it may have taken effect.
    boost::asio::awaitable<cw_write_outcome> write(std::string key, std::string value,
                                                   std::uint64_t expected_version,
                                                   cw_time_point deadline);
    /// The platform's host list as JSON text; empty when it has not changed since the last call.
    boost::asio::awaitable<cw_result<std::string>> hosts(cw_time_point deadline);

private:
    boost::asio::awaitable<cw_result<cw_store_value>> get(std::string target,
                                                          cw_time_point deadline);

    cw_http_client& http_;
    std::string address_;
    std::string hosts_etag_;
};
