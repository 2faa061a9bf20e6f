#pragma once

#include "cw_async_condition.h"
#include "cw_http_message.h"
#include "cw_http_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

/// Test stand-in for the platform: an in-memory object store with versions, conditional updates and
/// watches, and a host list. Faults are injected over HTTP.
class cw_store_standin {
public:
    cw_store_standin(boost::asio::io_context& context, const cw_address& address);
    void start() { server_.start(); }

private:
    struct versioned_value {
        std::uint64_t version = 0;
        std::string text;
    };
    /// Counts calls, to enforce the platform's limits on calls per second.
    struct call_counter {
        std::int64_t second = 0;
        std::uint64_t calls = 0;
        std::uint64_t total = 0;
        std::uint64_t max_per_second = 0;
    };

    boost::asio::awaitable<cw_http_response> handle_request(cw_http_request request);
    boost::asio::awaitable<cw_http_response> handle_store(const cw_http_request& request);
    boost::asio::awaitable<cw_http_response> read_value(std::string key, std::string target);
    boost::asio::awaitable<cw_http_response> write_value(std::string key, cw_http_request request);
    cw_http_response handle_hosts(const cw_http_request& request);
    cw_http_response handle_control(const cw_http_request& request);
    cw_http_response statistics() const;
    /// Counts a call; returns false if it exceeds the limit of the current second.
    static bool admit(call_counter& counter, std::uint64_t limit);

    boost::asio::io_context& context_;
    cw_http_server server_;
    /// Notified of each written value and of each change of the injected faults.
    cw_async_condition changed_;
    std::map<std::string, versioned_value> values_;
    nlohmann::json hosts_ = nlohmann::json::array();
    std::uint64_t hosts_version_ = 1;
    bool is_available_ = true;
    std::chrono::milliseconds response_delay_{0};
    double lost_reply_share_ = 0.0;
    std::uint64_t max_reads_per_second_ = 2'000;
    std::uint64_t max_writes_per_second_ = 400;
    call_counter reads_;
    call_counter writes_;
    std::uint64_t waiting_watches_ = 0;
    std::uint64_t max_waiting_watches_ = 0;
    std::minstd_rand random_engine_{1};
};
