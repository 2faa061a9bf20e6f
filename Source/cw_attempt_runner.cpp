#include "cw_attempt_runner.h"

#include "cw_address.h"
#include "cw_async.h"
#include "cw_body_relay.h"
#include "cw_caller_disconnect.h"
#include "cw_header_names.h"
#include "cw_hop_by_hop_headers.h"
#include "cw_proxy_exchange.h"
#include "cw_read_room.h"
#include "cw_traffic_context.h"

#include <algorithm>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {

using namespace std::chrono_literals;

constexpr auto connect_timeout = 250ms;

auto now() {
    return std::chrono::steady_clock::now();
}

cw_attempt_result classify_transfer_error(const boost::system::error_code& failure) {
    // Only the deadline sweeper cancels operations: at the deadline, or when the caller has left,
    // which send_and_receive() then reports as caller_left.
    if (failure == net::error::operation_aborted) {
        return cw_attempt_result::timed_out;
    }
    if (failure == http::error::end_of_stream ||
        failure.category() == net::error::get_system_category()) {
        return cw_attempt_result::connection_lost;
    }
    return failure == http::error::partial_message ? cw_attempt_result::connection_lost
                                                   : cw_attempt_result::malformed;
}

std::optional<cw_attempt_result> parse_refusal(const cw_http_response& answer) {
    const auto code = answer[cw_header_refused];
    if (code.empty()) {
        return std::nullopt;
    }
    return code == "not-owner" ? cw_attempt_result::refused_not_owner
                               : cw_attempt_result::refused_busy;
}

} // namespace

net::awaitable<cw_attempt_result> cw_attempt_runner::run(cw_proxy_exchange& exchange) {
    auto& request = exchange.request;
    if (exchange.route.slice != nullptr) {
        request.set(cw_header_generation, std::to_string(exchange.route.slice->generation));
        request.set(cw_header_key_hash, std::to_string(exchange.route.hash));
        traffic_.metrics.count_key(exchange.route.service->name, exchange.route.slice->first,
                                   exchange.route.hash);
    }
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(exchange.deadline - now());
    request.set(cw_header_deadline_ms,
                std::to_string(std::max<std::chrono::milliseconds::rep>(time_left.count(), 1)));
    auto upstream = traffic_.pool.acquire(exchange.upstream_address);
    if (upstream == nullptr) {
        upstream = co_await connect(exchange);
    }
    if (upstream == nullptr) {
        co_return cw_attempt_result::not_connected;
    }
    // On an overloaded router the caller's disconnect may not have been detected yet.
    if (exchange.streamed_body == nullptr && cw_has_caller_left(caller_, caller_buffer_)) {
        traffic_.pool.release(exchange.upstream_address, std::move(upstream));
        co_return cw_attempt_result::caller_left;
    }
    const auto result = co_await send_and_receive(exchange, *upstream);
    const bool has_complete_answer = result == cw_attempt_result::answered ||
                                     result == cw_attempt_result::refused_busy ||
                                     result == cw_attempt_result::refused_not_owner;
    if (has_complete_answer && exchange.answer.keep_alive()) {
        traffic_.pool.release(exchange.upstream_address, std::move(upstream));
    }
    co_return result;
}

net::awaitable<std::unique_ptr<cw_attempt_runner::stream>>
cw_attempt_runner::connect(cw_proxy_exchange& exchange) {
    const auto endpoint = cw_address::parse(exchange.upstream_address);
    if (!endpoint) {
        exchange.reason = "the upstream's address is unreadable";
        co_return nullptr;
    }
    auto upstream = traffic_.pool.create();
    boost::system::error_code failure;
    const cw_deadline_sweeper::guard connect_guard{
        traffic_.sweeper, *upstream,
        std::min<cw_time_point>(now() + connect_timeout, exchange.deadline)};
    co_await upstream->async_connect(endpoint->tcp(), cw_redirect_error(failure));
    if (failure) {
        exchange.reason = "connect: " + failure.message();
        co_return nullptr;
    }
    upstream->set_option(net::ip::tcp::no_delay{true}, failure);
    co_return upstream;
}

net::awaitable<cw_attempt_result> cw_attempt_runner::send_and_receive(cw_proxy_exchange& exchange,
                                                                      stream& upstream) {
    cw_deadline_sweeper::guard deadline_guard{traffic_.sweeper, upstream, exchange.deadline};
    if (exchange.streamed_body != nullptr) {
        exchange.body_consumed = true;
        if (!co_await send_streamed_request(exchange, upstream)) {
            co_return cw_attempt_result::connection_lost;
        }
        co_return co_await receive_answer(exchange, upstream, deadline_guard);
    }
    deadline_guard.watch_caller(caller_, caller_buffer_);
    auto result = cw_attempt_result::answered;
    if (co_await send_buffered_request(exchange, upstream, result)) {
        result = co_await receive_answer(exchange, upstream, deadline_guard);
    }
    co_return deadline_guard.has_caller_left() ? cw_attempt_result::caller_left : result;
}

net::awaitable<bool> cw_attempt_runner::send_buffered_request(cw_proxy_exchange& exchange,
                                                              stream& upstream,
                                                              cw_attempt_result& result) {
    boost::system::error_code failure;
    if (!exchange.request.body().empty() || exchange.request.has_content_length()) {
        exchange.request.content_length(exchange.request.body().size());
    }
    co_await http::async_write(upstream, exchange.request, cw_redirect_error(failure));
    if (failure) {
        exchange.reason = "send: " + failure.message();
        result = classify_transfer_error(failure);
    }
    co_return !failure;
}

net::awaitable<bool> cw_attempt_runner::send_streamed_request(cw_proxy_exchange& exchange,
                                                              stream& upstream) {
    auto& header_parser = *exchange.streamed_body;
    const bool chunked = header_parser.chunked();
    http::request_parser<http::buffer_body> parser{std::move(header_parser)};
    parser.body_limit(boost::none);
    http::request<http::buffer_body> message;
    message.base() = exchange.request.base();
    // chunked(false) would also erase Content-Length, and the upstream could not find the end of
    // the body.
    if (chunked) {
        message.chunked(true);
    }
    message.body().data = nullptr;
    message.body().more = true;
    http::request_serializer<http::buffer_body> serializer{message};
    boost::system::error_code failure;
    co_await http::async_write_header(upstream, serializer, cw_redirect_error(failure));
    if (failure) {
        exchange.reason = "send to the upstream: " + failure.message();
        co_return false;
    }
    const auto extend_caller_deadline = [this] {
        caller_guard_.set_deadline(now() + cw_caller_timeout);
    };
    const auto result = co_await cw_relay_body(caller_, caller_buffer_, parser, upstream, message,
                                               serializer, extend_caller_deadline, [] {});
    caller_guard_.set_deadline(cw_time_point::max());
    if (result.source_error) {
        exchange.reason = "receive from the caller: " + result.source_error.message();
        exchange.caller_error = cw_parse_error(result.source_error);
    } else if (result.sink_error) {
        exchange.reason = "send to the upstream: " + result.sink_error.message();
    }
    co_return result.ok();
}

net::awaitable<cw_attempt_result>
cw_attempt_runner::receive_answer(cw_proxy_exchange& exchange, stream& upstream,
                                  cw_deadline_sweeper::guard& deadline_guard) {
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> answer_parser;
    answer_parser.body_limit(boost::none);
    answer_parser.skip(exchange.request.method() == http::verb::head);
    boost::system::error_code failure;
    co_await http::async_read_header(upstream, buffer, answer_parser, cw_redirect_error(failure));
    if (failure) {
        exchange.reason = "receive: " + failure.message();
        co_return classify_transfer_error(failure);
    }
    const auto length = answer_parser.content_length();
    const bool has_body = !answer_parser.is_done();
    if (has_body && (!length || *length > cw_max_buffered_body)) {
        deadline_guard.unwatch_caller();
        co_return co_await stream_answer(exchange, upstream, buffer, answer_parser);
    }
    if (has_body) {
        cw_make_read_room(buffer, answer_parser, cw_traffic_read_room);
        co_await http::async_read(upstream, buffer, answer_parser, cw_redirect_error(failure));
    }
    if (failure) {
        exchange.reason = "receive: " + failure.message();
        co_return classify_transfer_error(failure);
    }
    exchange.answer = answer_parser.release();
    // Bytes after the answer belong to no request, so the connection is not reused.
    if (buffer.size() != 0) {
        exchange.answer.keep_alive(false);
    }
    if (const auto refusal = parse_refusal(exchange.answer)) {
        exchange.reason =
            "refused by the upstream: " + std::string{exchange.answer[cw_header_refused]};
        co_return *refusal;
    }
    co_return cw_attempt_result::answered;
}

template <typename Parser>
net::awaitable<cw_attempt_result>
cw_attempt_runner::stream_answer(cw_proxy_exchange& exchange, stream& upstream,
                                 boost::beast::flat_buffer& buffer, Parser& header_parser) {
    const auto length = header_parser.content_length();
    http::response_parser<http::buffer_body> parser{std::move(header_parser)};
    http::response<http::buffer_body> message;
    message.base() = parser.get().base();
    cw_remove_hop_by_hop_headers(message);
    message.set(cw_header_outcome, "answered");
    // A body that is delimited by the end of the connection cannot be distinguished from a
    // truncated one; a chunked body can.
    if (!length) {
        message.chunked(true);
    }
    message.keep_alive(true);
    message.body().data = nullptr;
    message.body().more = true;
    http::response_serializer<http::buffer_body> serializer{message};
    exchange.streamed_answer = true;
    const bool is_delimited_by_close = !length && !parser.chunked();
    boost::system::error_code failure;
    const auto extend_caller_deadline = [this] {
        caller_guard_.set_deadline(now() + cw_caller_timeout);
    };
    extend_caller_deadline();
    co_await http::async_write_header(caller_, serializer, cw_redirect_error(failure));
    cw_body_relay_result relay_result;
    if (!failure) {
        relay_result = co_await cw_relay_body(
            upstream, buffer, parser, caller_, message, serializer, [] {}, extend_caller_deadline);
    }
    exchange.answer.keep_alive(!is_delimited_by_close && parser.get().keep_alive());
    if (failure || !relay_result.ok() || !parser.is_done()) {
        caller_.close(failure);
        co_return cw_attempt_result::connection_lost;
    }
    caller_guard_.set_deadline(cw_time_point::max());
    co_return cw_attempt_result::answered;
}
