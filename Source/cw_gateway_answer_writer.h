#pragma once

#include "cw_async.h"
#include "cw_gateway_call.h"
#include "cw_gateway_dialect.h"
#include "cw_gateway_log_fields.h"
#include "cw_gateway_traffic.h"
#include "cw_hop_by_hop_headers.h"
#include "cw_socket_timeout.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

/// Writes the answers to a caller: those of upstreams, and the gateway's own refusals and errors.
template <cw_gateway_dialect Dialect>
class cw_gateway_answer_writer {
public:
    /// All arguments must outlive the writer.
    cw_gateway_answer_writer(cw_gateway_traffic& traffic, boost::asio::ip::tcp::socket& caller,
                             cw_socket_timeout& timeout)
        : traffic_{traffic},
          caller_{caller},
          timeout_{timeout} {}

    /// Writes the answer of a request that has ended. `may_keep_open` is false if the connection is
    /// to be closed after it. Returns false when no answer was written.
    boost::asio::awaitable<bool> write(cw_gateway_call& call, bool may_keep_open) {
        may_keep_open_ = may_keep_open;
        if (call.result == cw_gateway_call::outcome::answer) {
            co_return co_await forward_answer(call.exchange);
        }
        if (call.result == cw_gateway_call::outcome::refusal) {
            co_return co_await send_refusal(call.exchange);
        }
        co_return co_await send_error_answer(call.exchange, call.error_status);
    }

private:
    using status = boost::beast::http::status;
    using milliseconds = std::chrono::milliseconds;

    /// Maximum time for a caller to receive an answer.
    static constexpr std::chrono::seconds transfer_timeout{20};

    static cw_time_point now() { return std::chrono::steady_clock::now(); }

    boost::asio::awaitable<bool> forward_answer(cw_gateway_exchange& exchange) {
        auto& answer = exchange.answer;
        cw_remove_hop_by_hop_headers(answer);
        if (exchange.request.method() != boost::beast::http::verb::head) {
            answer.chunked(false);
            answer.content_length(answer.body().size());
        }
        traffic_.metrics().increment("answered_requests");
        traffic_.log().info("Answered.",
                            cw_gateway_log_fields(exchange, cw_attempt_result::answered));
        co_return co_await write_answer(exchange);
    }

    boost::asio::awaitable<bool> send_refusal(cw_gateway_exchange& exchange) {
        // Random jitter, so that callers refused at the same time do not retry at the same time.
        const auto max_jitter = exchange.retry_after.count() / 2 + 1;
        const auto retry_after =
            exchange.retry_after +
            milliseconds{static_cast<std::int64_t>(traffic_.random_number() %
                                                   static_cast<std::uint64_t>(max_jitter))};
        exchange.answer =
            cw_make_response(status::service_unavailable, exchange.reason + "\n", "text/plain");
        Dialect::set_retry_after(exchange.answer, retry_after);
        traffic_.metrics().increment("refused_requests");
        auto list = cw_gateway_log_fields(exchange, cw_attempt_result::refused_busy);
        list.emplace_back("return_ms", std::to_string(retry_after.count()));
        traffic_.log().info("Refused.", list);
        Dialect::set_attempt_id(exchange.answer, exchange.metadata.attempt_id);
        co_return co_await write_answer(exchange);
    }

    boost::asio::awaitable<bool> send_error_answer(cw_gateway_exchange& exchange, status code) {
        exchange.answer = cw_make_response(code, exchange.reason + "\n", "text/plain");
        traffic_.metrics().increment("failed_requests");
        auto list = cw_gateway_log_fields(exchange, cw_attempt_result::malformed);
        list.emplace_back("status", std::to_string(static_cast<int>(code)));
        traffic_.log().info("Failed.", list);
        Dialect::set_attempt_id(exchange.answer, exchange.metadata.attempt_id);
        co_return co_await write_answer(exchange);
    }

    boost::asio::awaitable<bool> write_answer(cw_gateway_exchange& exchange) {
        namespace http = boost::beast::http;
        auto& answer = exchange.answer;
        answer.version(11);
        answer.keep_alive(exchange.request.keep_alive() && may_keep_open_);
        if (exchange.route != nullptr) {
            traffic_.metrics().observe_latency(exchange.route->name, now() - exchange.started);
        }
        boost::system::error_code failure;
        timeout_.set(caller_, now() + transfer_timeout);
        if (exchange.answer_buffer != nullptr) {
            exchange.answer_buffer->on_eviction([this] {
                boost::system::error_code ignored;
                caller_.close(ignored);
            });
            exchange.answer_buffer->resize(answer.body().capacity());
        }
        if (exchange.request.method() == http::verb::head) {
            http::response_serializer<http::string_body> serializer{answer};
            co_await http::async_write_header(caller_, serializer, cw_redirect_error(failure));
        } else {
            co_await http::async_write(caller_, answer, cw_redirect_error(failure));
        }
        timeout_.clear();
        co_return !failure;
    }

    cw_gateway_traffic& traffic_;
    boost::asio::ip::tcp::socket& caller_;
    cw_socket_timeout& timeout_;
    bool may_keep_open_ = true;
};
