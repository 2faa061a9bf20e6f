#pragma once

#include "cw_boot_clock.h"
#include "cw_call_deadlines.h"
#include "cw_connection_choice.h"
#include "cw_error.h"
#include "cw_http_message.h"
#include "cw_log.h"
#include "cw_time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// True when a call failed because nothing listens at the peer's address.
[[nodiscard]] bool cw_is_connection_refused(const cw_error& error);

/// True when a call failed before any part of the request was sent.
[[nodiscard]] bool cw_was_never_sent(const cw_error& error);

/// True when a call failed since all idle connections to the peer were established too late for
/// cw_send_conditions::established_by; nothing was sent.
[[nodiscard]] bool cw_was_established_late(const cw_error& error);

/// True when a call failed since it was later than cw_send_conditions::send_by; nothing was sent.
[[nodiscard]] bool cw_was_sender_late(const cw_error& error);

/// True when a call failed after a part of the response had arrived, because the rest did not in
/// time.
[[nodiscard]] bool cw_was_response_cut(const cw_error& error);

/// True when a call failed because the response body exceeds the limit of control calls.
[[nodiscard]] bool cw_is_response_too_large(const cw_error& error);

/// An HTTP/1.1 client with a connection pool, for control calls. Not thread-safe.
///
/// A connection is closed after a timeout, an error, or bytes that belong to no request, so that a
/// late or duplicate response is never taken as the response to a later request. A timeout also
/// closes the idle connections to the peer, which may have gone silent together.
class cw_http_client {
public:
    /// Limit of a response body, in bytes. A list is sent in pages of at most a quarter of this.
    static constexpr std::uint64_t max_body_bytes = 4'000'000;

    /// `max_bytes` is the limit of a response body unless a call sets another.
    explicit cw_http_client(boost::asio::io_context& context,
                            std::uint64_t max_bytes = max_body_bytes)
        : context_{context},
          max_bytes_{max_bytes} {}

    /// The complete response of the peer at `address` ("IP:port"), or an error with the step that
    /// failed. A call fails at the deadline at the latest, or at the first turn of its thread after
    /// that. A response that is complete then is returned, and so is one that one more read
    /// completes without waiting.
    boost::asio::awaitable<cw_result<cw_http_response>> request(std::string address,
                                                                cw_http_request message,
                                                                cw_time_point deadline,
                                                                cw_send_conditions conditions = {});

    /// Opens a connection for a later call with cw_connection_choice::only_unused. Returns when it
    /// is established, or at the deadline.
    boost::asio::awaitable<void> open(std::string address, cw_time_point deadline);
    /// Number of idle connections to the peer on which it has answered.
    [[nodiscard]] std::size_t idle_connections(const std::string& address) const;

    /// The same for requests that may be repeated: one on a reused connection that brings no byte
    /// of the response in time is sent once more on a new connection, unless its first byte is
    /// final.
    boost::asio::awaitable<cw_result<cw_http_response>>
    request(std::string address, cw_http_request message, cw_call_deadlines deadlines);

    /// The same with a limit of the response body, in bytes. A longer one ends the call as soon as
    /// its length is known.
    boost::asio::awaitable<cw_result<cw_http_response>> request(std::string address,
                                                                cw_http_request message,
                                                                cw_call_deadlines deadlines,
                                                                std::uint64_t max_bytes);

    /// Bytes written and read by all calls so far, headers included.
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

private:
    using stream = boost::beast::tcp_stream;
    struct connection {
        std::unique_ptr<stream> channel;
        /// When it had been established.
        cw_boot_time established_at{};
    };
    using pool = std::vector<connection>;

    /// Limits of one call.
    struct call_limits {
        cw_call_deadlines deadlines;
        std::uint64_t max_bytes = max_body_bytes;
        cw_boot_time send_by = cw_boot_time::max();
        /// Idle connections to the peer that stay open after a timeout.
        std::size_t kept_after_timeout = 0;
    };
    boost::asio::awaitable<cw_result<cw_http_response>>
    request_within(std::string address, cw_http_request message, call_limits limits,
                   cw_send_conditions conditions);
    /// Establishes a new connection.
    boost::asio::awaitable<cw_result<connection>> connect(const std::string& address,
                                                          cw_time_point deadline);
    /// Sends the request on a connection and reads the response. The connection returns to the pool
    /// when the peer keeps it open and no bytes follow the response.
    boost::asio::awaitable<cw_result<cw_http_response>> try_once(connection& used,
                                                                 const std::string& address,
                                                                 const cw_http_request& message,
                                                                 call_limits limits);
    /// Logs what a large response cost, complete or not: its transfer took `reads` reads, and its
    /// first byte came at `begun_at`.
    void log_large_response(const std::string& address, const call_limits& limits,
                            std::uint64_t bytes, std::uint64_t reads, cw_time_point sent_at,
                            cw_time_point begun_at);
    /// After a timeout, closes the idle connections to the peer, which may be silent as well, but
    /// for the number that is kept.
    void close_idle_after_timeout(const std::string& address,
                                  const boost::system::error_code& failure, std::size_t kept);
    /// Keeps a connection for later calls; closes it when the peer has enough idle ones.
    void return_to_pool(const std::string& address, connection returned);
    /// An open idle connection without unread bytes, or none: the one idle for the shortest time.
    connection take_idle_connection(const std::string& address);
    /// A connection that meets the conditions of a call which opens none; an error if there is
    /// none.
    cw_result<connection> take_connection(const std::string& address,
                                          const cw_send_conditions& conditions);

    boost::asio::io_context& context_;
    std::uint64_t max_bytes_;
    std::map<std::string, pool> idle_;
    /// Connections of open(), on which nothing has been sent.
    std::map<std::string, pool> unused_;
    std::uint64_t bytes_ = 0;
    cw_log log_{"calls"};
};
