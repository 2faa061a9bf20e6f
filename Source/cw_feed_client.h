#pragma once

#include "cw_feed_answer.h"
#include "cw_http_client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

/// Data that a host already has when it asks a reader for changes.
struct cw_feed_known {
    cw_store_position entries_position;
    /// Version of the configuration; 0 for none.
    std::uint64_t config_version = 0;
    /// True if a newer configuration may come as deltas from that version.
    bool takes_deltas = false;
    /// Position of the evacuated domains; none if the host does not want to know them.
    std::optional<cw_store_position> evacuations_position = std::nullopt;
};

/// Sends requests to readers, that is, to the hosts that read the store for others. Not
/// thread-safe.
class cw_feed_client {
public:
    explicit cw_feed_client(boost::asio::io_context& context)
        : http_{context} {}

    /// The answer of the reader at "IP:port", or an error after `timeout` at the latest.
    boost::asio::awaitable<cw_result<cw_feed_answer>> request(std::string reader, cw_feed_part part,
                                                              cw_feed_known known,
                                                              std::chrono::milliseconds timeout);

    /// Number of requests that ended without an answer.
    [[nodiscard]] std::uint64_t unanswered() const { return unanswered_; }

private:
    cw_http_client http_;
    std::uint64_t unanswered_ = 0;
};
