#pragma once

#include "cw_attempt_runner.h"
#include "cw_deadline_sweeper.h"
#include "cw_proxy_exchange.h"
#include "cw_request_validation.h"
#include "cw_upstream_chooser.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

struct cw_traffic_context;
enum class cw_outcome;

/// One caller's connection: reads requests, has each run by the upstream that owns its key, and
/// answers.
///
/// Small bodies are held whole, so a request can be sent again where that is safe and an answer is
/// passed on only when all of it has arrived. Large bodies are streamed in bounded memory; when one
/// breaks off, the caller's connection is closed before its announced end.
class cw_proxy_session {
public:
    cw_proxy_session(cw_traffic_context& traffic, boost::asio::ip::tcp::socket socket);

    /// Serves the connection until either side ends it.
    static boost::asio::awaitable<void> run(std::unique_ptr<cw_proxy_session> session);

private:
    boost::asio::awaitable<bool> serve_request();
    /// Reads a request's header; false when the connection is over or the request was rejected.
    boost::asio::awaitable<bool> read_header(cw_request_parser& parser);
    /// Answers a request that must not be forwarded, after which the connection is over.
    boost::asio::awaitable<void> reject(cw_request_error error);
    boost::asio::awaitable<bool> read_body(cw_request_parser& parser, cw_proxy_exchange& exchange);
    /// Finds the route and refuses what cannot or must not run; true when the request may go on.
    boost::asio::awaitable<bool> admit(cw_proxy_exchange& exchange, bool& answer_sent);
    boost::asio::awaitable<bool> run_with_retries(cw_proxy_exchange& exchange);
    /// Chooses an upstream and has it run the request once.
    boost::asio::awaitable<cw_attempt_result> run_attempt(cw_proxy_exchange& exchange);
    /// Prepares another attempt; false when the owner is gone and no other is known yet.
    boost::asio::awaitable<bool> prepare_retry(cw_proxy_exchange& exchange,
                                               cw_attempt_result result,
                                               cw_time_point owner_deadline);
    boost::asio::awaitable<bool> wait_for_newer_view(cw_proxy_exchange& exchange,
                                                     cw_attempt_result result);
    boost::asio::awaitable<bool> answer(cw_proxy_exchange& exchange, cw_outcome outcome);
    boost::asio::awaitable<bool> send_refusal(cw_proxy_exchange& exchange, cw_outcome outcome);
    /// Marks the request when its upstream has died of it, and clears it when it was answered.
    boost::asio::awaitable<void> record_crash_result(const cw_proxy_exchange& exchange,
                                                     cw_attempt_result result);
    [[nodiscard]] bool is_refused_for_crashes(cw_proxy_exchange& exchange) const;
    void prepare_request(cw_proxy_exchange& exchange);

    cw_traffic_context& traffic_;
    boost::asio::ip::tcp::socket caller_;
    cw_deadline_sweeper::guard caller_deadline_;
    boost::beast::flat_buffer buffer_;
    cw_upstream_chooser chooser_;
    cw_attempt_runner runner_;
};
