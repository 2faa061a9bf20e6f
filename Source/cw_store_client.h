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

/// HTTP client of the platform's object store and host list.
class cw_store_client {
public:
    cw_store_client(cw_http_client& http, std::string address)
        : http_{http},
          address_{std::move(address)} {}

    /// The value of a key. A missing key is no error; its version is 0.
    boost::asio::awaitable<cw_result<cw_store_value>> read(std::string key, cw_time_point deadline);
    /// Long poll: returns when the key's version exceeds `known`, or the current value after
    /// `wait`.
    boost::asio::awaitable<cw_result<cw_store_value>> watch(std::string key, std::uint64_t known,
                                                            std::chrono::milliseconds wait);
    /// Writes the value if the stored version is the expected one (0: no value). `unknown` means
    /// that the write may have taken effect.
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
