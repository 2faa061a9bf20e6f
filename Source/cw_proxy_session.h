#pragma once

#include "cw_attempt_runner.h"
#include "cw_deadline_sweeper.h"
#include "cw_proxy_exchange.h"
#include "cw_request_validation.h"
#include "cw_router_upstream_selector.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

struct cw_traffic_context;
enum class cw_request_outcome;

/// A caller's connection to a router: reads requests, sends each to the upstream that owns its key,
/// and sends the answers.
///
/// Small bodies are buffered completely, so a request can be sent again where that is safe, and an
/// answer is forwarded only after all of it has arrived. Large bodies are streamed in bounded
/// memory; when a streamed answer is truncated, the caller's connection is closed before the
/// announced end of the body.
class cw_proxy_session {
public:
    cw_proxy_session(cw_traffic_context& traffic, boost::asio::ip::tcp::socket socket);

    /// Serves the connection until either side closes it.
    static boost::asio::awaitable<void> run(std::unique_ptr<cw_proxy_session> session);

private:
    /// Serves the next request; false when the connection must be closed.
    boost::asio::awaitable<bool> serve_request();
    /// Reads a request's header; false when the connection has ended or the request was rejected.
    boost::asio::awaitable<bool> read_header(cw_request_parser& parser);
    /// Answers a request that must not be forwarded. The connection must be closed afterwards.
    boost::asio::awaitable<void> reject(cw_request_error error);
    /// Reads a small body or sets up the streaming of a large one; false when reading failed.
    boost::asio::awaitable<bool> read_body(cw_request_parser& parser, cw_proxy_exchange& exchange);
    /// Finds the route and checks the admission limit. False when the request has been answered;
    /// then `answer_sent` says whether sending the answer succeeded.
    boost::asio::awaitable<bool> admit_request(cw_proxy_exchange& exchange, bool& answer_sent);
    /// Makes attempts until the request is answered or refused; false when the connection must be
    /// closed.
    boost::asio::awaitable<bool> run_with_retries(cw_proxy_exchange& exchange);
    /// Selects an upstream and sends the request to it once.
    boost::asio::awaitable<cw_attempt_result> run_attempt(cw_proxy_exchange& exchange);
    /// Prepares another attempt; false when the body cannot be sent again, or when the owner cannot
    /// serve the request and no other owner is known in time.
    boost::asio::awaitable<bool> prepare_retry(cw_proxy_exchange& exchange,
                                               cw_attempt_result result,
                                               cw_time_point owner_deadline);
    /// Waits for a view with a new owner of the key and applies it; false when none arrives in
    /// time.
    boost::asio::awaitable<bool> wait_for_newer_view(cw_proxy_exchange& exchange,
                                                     cw_attempt_result result);
    /// Sends the exchange's answer; false when sending failed.
    boost::asio::awaitable<bool> send_answer(cw_proxy_exchange& exchange,
                                             cw_request_outcome outcome);
    /// Sends an answer with the exchange's reason and a retry-after time; false when sending
    /// failed.
    boost::asio::awaitable<bool> send_refusal(cw_proxy_exchange& exchange,
                                              cw_request_outcome outcome);
    /// Counts a crash when the upstream has exited, and clears a suspected request when it was
    /// answered.
    boost::asio::awaitable<void> record_crash_result(const cw_proxy_exchange& exchange,
                                                     cw_attempt_result result);
    /// True when the request is suspected of crashing upstreams; then sets the reason and the
    /// retry-after time.
    [[nodiscard]] bool is_refused_for_crashes(cw_proxy_exchange& exchange) const;
    /// Sets the deadline and the headers of the request that is sent to upstreams.
    void prepare_request(cw_proxy_exchange& exchange);

    cw_traffic_context& traffic_;
    boost::asio::ip::tcp::socket caller_;
    cw_deadline_sweeper::guard caller_guard_;
    boost::beast::flat_buffer buffer_;
    cw_router_upstream_selector upstream_selector_;
    cw_attempt_runner runner_;
};
