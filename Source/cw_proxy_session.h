#pragma once

#include "cw_attempt.h"
#include "cw_deadline_sweeper.h"
#include "cw_http_message.h"
#include "cw_retry_budget.h"
#include "cw_route_view.h"
#include "cw_router_metrics.h"
#include "cw_time.h"
#include "cw_upstream_pool.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <string>

class cw_router_shared;

/// What one traffic thread's sessions share.
struct cw_traffic_context {
    cw_traffic_context(boost::asio::io_context& io, cw_router_shared& state)
        : context{io},
          shared{state},
          pool{io},
          sweeper{io} {}

    boost::asio::io_context& context;
    cw_router_shared& shared;
    cw_upstream_pool pool;
    cw_deadline_sweeper sweeper;
    cw_router_metrics metrics;
    cw_retry_budget budget;
};

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
    using header_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// One request on its way.
    struct exchange {
        cw_http_request request;
        /// Set when the body is too large to hold; its bytes are still on the caller's connection.
        header_parser* streamed_body = nullptr;
        /// True once the body has been read off the caller's connection.
        bool body_consumed = false;
        cw_route route;
        std::shared_ptr<const cw_route_view> view;
        std::string address;
        cw_time_point started;
        cw_time_point deadline;
        cw_attempt_state state;
        /// The whole answer, once there is one.
        cw_http_response answer;
        /// True when the answer has been streamed to the caller already.
        bool streamed_answer = false;
        /// What an upstream or the network said last, for the caller and the log.
        std::string reason;
    };

    boost::asio::awaitable<bool> serve_one();
    boost::asio::awaitable<bool> read_body(header_parser& parser, exchange& current);
    boost::asio::awaitable<bool> forward(exchange& current);
    boost::asio::awaitable<cw_attempt_result> attempt(exchange& current);
    boost::asio::awaitable<cw_attempt_result> send_and_receive(exchange& current,
                                                               cw_upstream_pool::stream& upstream);
    boost::asio::awaitable<cw_attempt_result> receive(exchange& current,
                                                      cw_upstream_pool::stream& upstream);
    template <typename Parser>
    boost::asio::awaitable<cw_attempt_result>
    stream_answer(exchange& current, cw_upstream_pool::stream& upstream,
                  boost::beast::flat_buffer& buffer, Parser& head);
    boost::asio::awaitable<bool> stream_request(exchange& current,
                                                cw_upstream_pool::stream& upstream);
    boost::asio::awaitable<bool> wait_for_newer_view(exchange& current, cw_attempt_result result);
    boost::asio::awaitable<bool> choose_upstream(exchange& current);
    boost::asio::awaitable<bool> answer(exchange& current, cw_outcome outcome);
    boost::asio::awaitable<bool> answer_refusal(exchange& current, cw_outcome outcome);
    void prepare_request(exchange& current);

    cw_traffic_context& traffic_;
    boost::asio::ip::tcp::socket caller_;
    cw_deadline_sweeper::guard caller_deadline_;
    boost::beast::flat_buffer buffer_;
};
