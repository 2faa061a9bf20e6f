#pragma once

#include "cw_attempt.h"
#include "cw_connection_pool.h"
#include "cw_deadline_sweeper.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

struct cw_proxy_exchange;
struct cw_traffic_context;

/// Executes one attempt of a router: connects to the selected upstream, sends the request and
/// receives the answer.
///
/// A connection is returned to the pool only after a complete answer. When the caller disconnects,
/// the connection to the upstream is closed, which cancels the request there.
class cw_attempt_runner {
public:
    cw_attempt_runner(cw_traffic_context& traffic, boost::asio::ip::tcp::socket& caller,
                      cw_deadline_sweeper::guard& caller_deadline,
                      boost::beast::flat_buffer& caller_buffer)
        : traffic_{traffic},
          caller_{caller},
          caller_guard_{caller_deadline},
          caller_buffer_{caller_buffer} {}

    /// Sends the request to `exchange.upstream_address`. Sets the answer, or the reason of the
    /// failure, in the exchange.
    boost::asio::awaitable<cw_attempt_result> run(cw_proxy_exchange& exchange);

private:
    using stream = cw_connection_pool::stream;

    boost::asio::awaitable<std::unique_ptr<stream>> connect(cw_proxy_exchange& exchange);
    boost::asio::awaitable<cw_attempt_result> send_and_receive(cw_proxy_exchange& exchange,
                                                               stream& upstream);
    boost::asio::awaitable<bool> send_buffered_request(cw_proxy_exchange& exchange,
                                                       stream& upstream, cw_attempt_result& result);
    boost::asio::awaitable<bool> send_streamed_request(cw_proxy_exchange& exchange,
                                                       stream& upstream);
    boost::asio::awaitable<cw_attempt_result>
    receive_answer(cw_proxy_exchange& exchange, stream& upstream,
                   cw_deadline_sweeper::guard& deadline_guard);
    template <typename Parser>
    boost::asio::awaitable<cw_attempt_result>
    stream_answer(cw_proxy_exchange& exchange, stream& upstream, boost::beast::flat_buffer& buffer,
                  Parser& header_parser);

    cw_traffic_context& traffic_;
    boost::asio::ip::tcp::socket& caller_;
    cw_deadline_sweeper::guard& caller_guard_;
    boost::beast::flat_buffer& caller_buffer_;
};
