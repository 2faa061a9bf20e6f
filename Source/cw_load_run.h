#pragma once

#include "cw_load_options.h"
#include "cw_load_record.h"
#include "cw_zipf_distribution.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// Sends requests at a fixed rate (open loop) and records the outcome of each.
class cw_load_run {
public:
    explicit cw_load_run(cw_load_options options);
    /// Sends all requests and returns when the last one has finished.
    void run();
    [[nodiscard]] const std::vector<cw_load_record>& records() const { return records_; }
    /// Request path of a key; the upstreams' journals contain the same path.
    [[nodiscard]] std::string path_of(std::uint32_t key) const;

private:
    using stream = boost::beast::tcp_stream;

    boost::asio::awaitable<void> send_all();
    boost::asio::awaitable<void> send_request(std::size_t index, std::string target);
    boost::asio::awaitable<bool> exchange(stream& connection, cw_load_record& record);
    std::unique_ptr<stream> take_idle_connection(const std::string& target);

    cw_load_options options_;
    boost::asio::io_context context_{1};
    std::mt19937_64 random_engine_;
    cw_zipf_distribution key_distribution_;
    std::string request_id_prefix_;
    std::vector<cw_load_record> records_;
    std::map<std::string, std::vector<std::unique_ptr<stream>>> idle_connections_;
};
