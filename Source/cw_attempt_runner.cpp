#include "cw_attempt_runner.h"

#include "cw_address.h"
#include "cw_async.h"
#include "cw_body_relay.h"
#include "cw_caller_end.h"
#include "cw_header_names.h"
#include "cw_hop_by_hop_headers.h"
#include "cw_proxy_exchange.h"
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

cw_attempt_result failure_after_sending(const boost::system::error_code& failure) {
    // Only the deadline sweeper cancels operations.
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

std::optional<cw_attempt_result> refusal_of(const cw_http_response& answer) {
    const auto word = answer[cw_header_refused];
    if (word.empty()) {
        return std::nullopt;
    }
    return word == "not-owner" ? cw_attempt_result::refused_not_owner
                               : cw_attempt_result::refused_busy;
}

} // namespace

net::awaitable<cw_attempt_result> cw_attempt_runner::run(cw_proxy_exchange& current) {
    auto& request = current.request;
    if (current.route.slice != nullptr) {
        request.set(cw_header_generation, std::to_string(current.route.slice->generation));
        request.set(cw_header_key_hash, std::to_string(current.route.hash));
        traffic_.metrics.on_key(current.route.service->name, current.route.slice->first,
                                current.route.hash);
    }
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(current.deadline - now());
    request.set(cw_header_deadline_ms,
                std::to_string(std::max<std::chrono::milliseconds::rep>(left.count(), 1)));
    auto upstream = traffic_.pool.take(current.address);
    if (upstream == nullptr) {
        upstream = co_await connect(current);
    }
    if (upstream == nullptr) {
        co_return cw_attempt_result::not_connected;
    }
    // On a router that is behind, the caller's end may have arrived and not been heard yet.
    if (current.streamed_body == nullptr && cw_has_caller_left(caller_, caller_buffer_)) {
        traffic_.pool.put_back(current.address, std::move(upstream));
        co_return cw_attempt_result::caller_left;
    }
    const auto result = co_await send_and_receive(current, *upstream);
    const bool whole = result == cw_attempt_result::answered ||
                       result == cw_attempt_result::refused_busy ||
                       result == cw_attempt_result::refused_not_owner;
    if (whole && current.answer.keep_alive()) {
        traffic_.pool.put_back(current.address, std::move(upstream));
    }
    co_return result;
}

net::awaitable<std::unique_ptr<cw_attempt_runner::stream>>
cw_attempt_runner::connect(cw_proxy_exchange& current) {
    const auto endpoint = cw_address::parse(current.address);
    if (!endpoint) {
        current.reason = "the upstream's address is unreadable";
        co_return nullptr;
    }
    auto upstream = traffic_.pool.make();
    boost::system::error_code failure;
    const cw_deadline_sweeper::guard connecting{
        traffic_.sweeper, *upstream,
        std::min<cw_time_point>(now() + connect_timeout, current.deadline)};
    co_await upstream->async_connect(endpoint->tcp(), cw_redirect_error(failure));
    if (failure) {
        current.reason = "connect: " + failure.message();
        co_return nullptr;
    }
    upstream->set_option(net::ip::tcp::no_delay{true}, failure);
    co_return upstream;
}

net::awaitable<cw_attempt_result> cw_attempt_runner::send_and_receive(cw_proxy_exchange& current,
                                                                      stream& upstream) {
    cw_deadline_sweeper::guard waiting{traffic_.sweeper, upstream, current.deadline};
    if (current.streamed_body != nullptr) {
        current.body_consumed = true;
        if (!co_await stream_request(current, upstream)) {
            co_return cw_attempt_result::connection_lost;
        }
        co_return co_await receive(current, upstream, waiting);
    }
    waiting.watch(caller_, caller_buffer_);
    auto result = cw_attempt_result::answered;
    if (co_await send_held(current, upstream, result)) {
        result = co_await receive(current, upstream, waiting);
    }
    co_return waiting.has_caller_left() ? cw_attempt_result::caller_left : result;
}

net::awaitable<bool> cw_attempt_runner::send_held(cw_proxy_exchange& current, stream& upstream,
                                                  cw_attempt_result& result) {
    boost::system::error_code failure;
    if (!current.request.body().empty() || current.request.has_content_length()) {
        current.request.content_length(current.request.body().size());
    }
    co_await http::async_write(upstream, current.request, cw_redirect_error(failure));
    if (failure) {
        current.reason = "send: " + failure.message();
        result = failure_after_sending(failure);
    }
    co_return !failure;
}

net::awaitable<bool> cw_attempt_runner::stream_request(cw_proxy_exchange& current,
                                                       stream& upstream) {
    auto& head = *current.streamed_body;
    const bool chunked = head.chunked();
    http::request_parser<http::buffer_body> parser{std::move(head)};
    parser.body_limit(boost::none);
    http::request<http::buffer_body> message;
    message.base() = current.request.base();
    // Clearing the chunked flag would erase the length as well, and with it the end of the body.
    if (chunked) {
        message.chunked(true);
    }
    message.body().data = nullptr;
    message.body().more = true;
    http::request_serializer<http::buffer_body> serializer{message};
    boost::system::error_code failure;
    co_await http::async_write_header(upstream, serializer, cw_redirect_error(failure));
    if (failure) {
        current.reason = "send to the upstream: " + failure.message();
        co_return false;
    }
    const auto extend_caller = [this] { caller_deadline_.extend(now() + cw_caller_timeout); };
    const auto result = co_await cw_relay_body(caller_, caller_buffer_, parser, upstream, message,
                                               serializer, extend_caller, [] {});
    caller_deadline_.extend(cw_time_point::max());
    if (result.source) {
        current.reason = "receive from the caller: " + result.source.message();
        current.caller_mistake = cw_parse_mistake(result.source);
    } else if (result.sink) {
        current.reason = "send to the upstream: " + result.sink.message();
    }
    co_return result.is_whole();
}

net::awaitable<cw_attempt_result> cw_attempt_runner::receive(cw_proxy_exchange& current,
                                                             stream& upstream,
                                                             cw_deadline_sweeper::guard& waiting) {
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> head;
    head.body_limit(boost::none);
    head.skip(current.request.method() == http::verb::head);
    boost::system::error_code failure;
    co_await http::async_read_header(upstream, buffer, head, cw_redirect_error(failure));
    if (failure) {
        current.reason = "receive: " + failure.message();
        co_return failure_after_sending(failure);
    }
    const auto length = head.content_length();
    const bool has_body = !head.is_done();
    if (has_body && (!length || *length > cw_largest_held_body)) {
        waiting.unwatch();
        co_return co_await stream_answer(current, upstream, buffer, head);
    }
    if (has_body) {
        co_await http::async_read(upstream, buffer, head, cw_redirect_error(failure));
    }
    if (failure) {
        current.reason = "receive: " + failure.message();
        co_return failure_after_sending(failure);
    }
    current.answer = head.release();
    // Bytes behind the answer belong to nobody; the connection is not used again.
    if (buffer.size() != 0) {
        current.answer.keep_alive(false);
    }
    if (const auto refused = refusal_of(current.answer)) {
        current.reason =
            "refused by the upstream: " + std::string{current.answer[cw_header_refused]};
        co_return *refused;
    }
    co_return cw_attempt_result::answered;
}

template <typename Parser>
net::awaitable<cw_attempt_result>
cw_attempt_runner::stream_answer(cw_proxy_exchange& current, stream& upstream,
                                 boost::beast::flat_buffer& buffer, Parser& head) {
    const auto length = head.content_length();
    http::response_parser<http::buffer_body> parser{std::move(head)};
    http::response<http::buffer_body> message;
    message.base() = parser.get().base();
    cw_remove_hop_by_hop_headers(message);
    message.set(cw_header_outcome, "answered");
    // A body that ends with the connection cannot be told from one that broke off; chunks can.
    if (!length) {
        message.chunked(true);
    }
    message.keep_alive(true);
    message.body().data = nullptr;
    message.body().more = true;
    http::response_serializer<http::buffer_body> serializer{message};
    current.streamed_answer = true;
    const bool until_close = !length && !parser.chunked();
    boost::system::error_code failure;
    const auto extend_caller = [this] { caller_deadline_.extend(now() + cw_caller_timeout); };
    extend_caller();
    co_await http::async_write_header(caller_, serializer, cw_redirect_error(failure));
    cw_body_relay_result relayed;
    if (!failure) {
        relayed = co_await cw_relay_body(
            upstream, buffer, parser, caller_, message, serializer, [] {}, extend_caller);
    }
    current.answer.keep_alive(!until_close && parser.get().keep_alive());
    if (failure || !relayed.is_whole() || !parser.is_done()) {
        caller_.close(failure);
        co_return cw_attempt_result::connection_lost;
    }
    caller_deadline_.extend(cw_time_point::max());
    co_return cw_attempt_result::answered;
}
