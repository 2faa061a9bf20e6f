#include "cw_proxy_session.h"

#include "cw_async.h"
#include "cw_header_names.h"
#include "cw_hop_by_hop_headers.h"
#include "cw_key_hash.h"
#include "cw_liveness_probe.h"
#include "cw_read_room.h"
#include "cw_reject_request.h"
#include "cw_router_shared.h"
#include "cw_traffic_context.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <random>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {

using namespace std::chrono_literals;

/// Time limit from the first byte of a request to the end of its header.
constexpr auto header_timeout = 10s;
/// Time limit for sending the answer to a rejected request and reading the rest of that request.
constexpr auto linger_timeout = 500ms;
constexpr auto view_poll_interval = 2ms;
/// Longest wait for a newer table. A planned move is complete within this time; replacing a lost
/// owner takes longer.
constexpr std::chrono::milliseconds max_view_wait = 100ms;
constexpr std::chrono::milliseconds not_owner_retry_wait = 10ms;
/// Remaining time below which no further attempt is made.
constexpr auto min_time_left = 1ms;
constexpr auto max_deadline = 24h;
/// Time after which the keys of a lost upstream are usually served again.
constexpr std::chrono::milliseconds retry_after_loss = 600ms;
constexpr std::chrono::milliseconds retry_after_overload = 250ms;

auto now() {
    return std::chrono::steady_clock::now();
}

std::chrono::milliseconds with_jitter(std::chrono::milliseconds base) {
    thread_local std::minstd_rand engine{std::random_device{}()};
    // Random jitter prevents callers that were refused together from retrying together.
    return base + std::chrono::milliseconds{engine() % static_cast<std::uint64_t>(base.count())};
}

bool is_idempotent(http::verb method) {
    return method == http::verb::get || method == http::verb::head ||
           method == http::verb::options || method == http::verb::put ||
           method == http::verb::delete_;
}

std::optional<std::int64_t> numeric_header(const cw_http_request& request, const char* name) {
    const auto text = request[name];
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::string new_request_id() {
    thread_local std::mt19937_64 engine{std::random_device{}()};
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx",
                  static_cast<unsigned long long>(engine()));
    return digits.data();
}

std::uint64_t fingerprint_of(const cw_http_request& request) {
    const auto method = request.method_string();
    const auto target = request.target();
    return cw_request_fingerprint({method.data(), method.size()}, {target.data(), target.size()},
                                  request.body());
}

} // namespace

cw_proxy_session::cw_proxy_session(cw_traffic_context& traffic, net::ip::tcp::socket socket)
    : traffic_{traffic},
      caller_{std::move(socket)},
      caller_guard_{traffic.sweeper, caller_, cw_time_point::max()},
      upstream_selector_{traffic},
      runner_{traffic, caller_, caller_guard_, buffer_} {}

net::awaitable<void> cw_proxy_session::run(std::unique_ptr<cw_proxy_session> session) {
    // The result is stored in a variable because g++ 12 miscompiles a loop with co_await in its
    // condition and an empty body.
    bool is_open = true;
    while (is_open) {
        is_open = co_await session->serve_request();
    }
}

net::awaitable<bool> cw_proxy_session::serve_request() {
    cw_request_parser parser;
    parser.body_limit(boost::none);
    if (!co_await read_header(parser)) {
        co_return false;
    }
    ++traffic_.shared.open_requests;
    struct open_request_guard {
        std::atomic<std::int64_t>& count;
        ~open_request_guard() { --count; }
    } const guard{traffic_.shared.open_requests};
    cw_proxy_exchange exchange;
    exchange.started = now();
    const bool keep_alive = parser.get().keep_alive();
    const bool is_body_read = co_await read_body(parser, exchange);
    if (!is_body_read) {
        co_return false;
    }
    exchange.request.base() = std::move(parser.get().base());
    bool answer_sent = false;
    if (co_await admit_request(exchange, answer_sent)) {
        answer_sent = co_await run_with_retries(exchange);
    }
    const bool is_reusable = keep_alive && exchange.streamed_body == nullptr;
    co_return answer_sent ? is_reusable && !traffic_.shared.is_stopping() : false;
}

net::awaitable<bool> cw_proxy_session::read_header(cw_request_parser& parser) {
    boost::system::error_code failure;
    if (buffer_.size() == 0) {
        caller_guard_.set_deadline(now() + cw_caller_timeout);
        co_await caller_.async_wait(net::ip::tcp::socket::wait_read, cw_redirect_error(failure));
        if (failure) {
            co_return false;
        }
    }
    caller_guard_.set_deadline(now() + header_timeout);
    co_await http::async_read_header(caller_, buffer_, parser, cw_redirect_error(failure));
    std::optional<cw_request_error> error;
    if (failure == net::error::operation_aborted) {
        error =
            cw_request_error{http::status::request_timeout, "the request takes too long to arrive"};
    } else if (failure) {
        error = cw_parse_error(failure);
    } else {
        error = cw_validate_request(parser.get(), parser.chunked());
    }
    if (error) {
        co_await reject(*error);
    }
    caller_guard_.set_deadline(cw_time_point::max());
    co_return !failure && !error;
}

net::awaitable<void> cw_proxy_session::reject(cw_request_error error) {
    caller_guard_.set_deadline(now() + linger_timeout);
    co_await cw_reject_request(caller_, error);
}

net::awaitable<bool> cw_proxy_session::read_body(cw_request_parser& parser,
                                                 cw_proxy_exchange& exchange) {
    const auto length = parser.content_length();
    if (parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> continue_response{http::status::continue_, 11};
        boost::system::error_code failure;
        co_await http::async_write(caller_, continue_response, cw_redirect_error(failure));
    }
    if (parser.chunked() || (length && *length > cw_max_buffered_body)) {
        exchange.streamed_body = &parser;
        co_return true;
    }
    if (!length || *length == 0) {
        co_return true;
    }
    boost::system::error_code failure;
    caller_guard_.set_deadline(now() + cw_caller_timeout);
    cw_make_read_room(buffer_, parser, cw_traffic_read_room);
    co_await http::async_read(caller_, buffer_, parser, cw_redirect_error(failure));
    cw_release_read_room(buffer_);
    caller_guard_.set_deadline(cw_time_point::max());
    exchange.request.body() = std::move(parser.get().body());
    co_return !failure;
}

void cw_proxy_session::prepare_request(cw_proxy_exchange& exchange) {
    auto& request = exchange.request;
    const auto requested = numeric_header(request, cw_header_deadline_ms);
    const auto limit = requested && *requested > 0
                           ? std::min<std::chrono::milliseconds>(
                                 std::chrono::milliseconds{*requested}, max_deadline)
                           : exchange.route.service->default_deadline;
    exchange.deadline = exchange.started + limit;
    exchange.state.idempotent =
        is_idempotent(request.method()) && exchange.streamed_body == nullptr;
    if (request[cw_header_request_id].empty()) {
        request.set(cw_header_request_id, new_request_id());
    }
    cw_remove_hop_by_hop_headers(request);
    request.erase(http::field::expect);
    request.keep_alive(true);
    traffic_.retry_budget.on_request();
}

net::awaitable<bool> cw_proxy_session::admit_request(cw_proxy_exchange& exchange,
                                                     bool& answer_sent) {
    exchange.view = traffic_.shared.view();
    if (exchange.view == nullptr) {
        exchange.reason = "no configuration is in force yet";
        answer_sent = co_await send_refusal(exchange, cw_request_outcome::did_not_run);
        co_return false;
    }
    auto route = exchange.view->route_for(std::string{exchange.request.target()});
    if (!route) {
        exchange.answer =
            cw_make_response(http::status::not_found, route.error().text() + "\n", "text/plain");
        answer_sent = co_await send_answer(exchange, cw_request_outcome::did_not_run);
        co_return false;
    }
    exchange.route = *route;
    prepare_request(exchange);
    if (traffic_.shared.is_overloaded_for(exchange.route.service->priority)) {
        exchange.reason = "the router is full";
        exchange.retry_after = retry_after_overload;
        answer_sent = co_await send_refusal(exchange, cw_request_outcome::did_not_run);
        co_return false;
    }
    co_return true;
}

net::awaitable<cw_attempt_result> cw_proxy_session::run_attempt(cw_proxy_exchange& exchange) {
    cw_concurrency_permit permit;
    if (!co_await upstream_selector_.select(exchange, permit)) {
        co_return cw_attempt_result::refused_busy;
    }
    const auto result = co_await runner_.run(exchange);
    permit.release(result, now());
    if (result != cw_attempt_result::answered) {
        exchange.failed_upstreams.push_back(exchange.upstream_address);
    }
    co_await record_crash_result(exchange, result);
    co_return result;
}

bool cw_proxy_session::is_refused_for_crashes(cw_proxy_exchange& exchange) const {
    const auto& filter = traffic_.shared.crash_filter();
    if (!filter.has_suspects()) {
        return false;
    }
    const auto fingerprint = fingerprint_of(exchange.request);
    const bool is_keyed = exchange.route.slice != nullptr;
    const auto until =
        is_keyed ? filter.keyed_refused_until(fingerprint) : filter.refused_until(fingerprint);
    if (now() >= until) {
        return false;
    }
    exchange.reason = "this request crashed each upstream that ran it";
    exchange.retry_after = std::chrono::ceil<std::chrono::milliseconds>(until - now());
    return true;
}

net::awaitable<void> cw_proxy_session::record_crash_result(const cw_proxy_exchange& exchange,
                                                           cw_attempt_result result) {
    auto& filter = traffic_.shared.crash_filter();
    if (result == cw_attempt_result::answered && filter.has_suspects()) {
        filter.on_answer(fingerprint_of(exchange.request));
    }
    // An upstream that only closed the connection is still listening.
    if (result == cw_attempt_result::connection_lost && !exchange.streamed_answer &&
        co_await cw_is_down(traffic_.context, exchange.upstream_address)) {
        filter.on_crash(fingerprint_of(exchange.request), exchange.upstream_address, now());
    }
}

net::awaitable<bool> cw_proxy_session::run_with_retries(cw_proxy_exchange& exchange) {
    const auto owner_deadline = std::min<cw_time_point>(now() + max_view_wait, exchange.deadline);
    while (true) {
        if (is_refused_for_crashes(exchange)) {
            // An earlier attempt may have run before its upstream crashed.
            co_return co_await send_refusal(exchange, exchange.state.may_have_run
                                                          ? cw_request_outcome::unknown
                                                          : cw_request_outcome::did_not_run);
        }
        const auto result = co_await run_attempt(exchange);
        if (exchange.caller_error) {
            co_await reject(*exchange.caller_error);
            co_return false;
        }
        if (exchange.streamed_answer) {
            traffic_.metrics.on_answer(result == cw_attempt_result::answered
                                           ? cw_request_outcome::answered
                                           : cw_request_outcome::unknown,
                                       now() - exchange.started);
            co_return result == cw_attempt_result::answered;
        }
        if (result == cw_attempt_result::caller_left) {
            traffic_.metrics.on_caller_left();
            co_return false;
        }
        exchange.state.has_retry_token = traffic_.retry_budget.has_token();
        exchange.state.has_time_left = now() + min_time_left < exchange.deadline;
        exchange.state.may_have_run = exchange.state.may_have_run || !cw_has_not_run(result);
        switch (cw_decide_next_step(result, exchange.state)) {
        case cw_next_step::forward_answer:
            co_return co_await send_answer(exchange, cw_request_outcome::answered);
        case cw_next_step::refuse:
            co_return co_await send_refusal(exchange, cw_request_outcome::did_not_run);
        case cw_next_step::report_unknown:
            co_return co_await send_refusal(exchange, cw_request_outcome::unknown);
        case cw_next_step::retry:
            break;
        }
        if (!co_await prepare_retry(exchange, result, owner_deadline)) {
            co_return co_await send_refusal(exchange, exchange.state.may_have_run
                                                          ? cw_request_outcome::unknown
                                                          : cw_request_outcome::did_not_run);
        }
    }
}

net::awaitable<bool> cw_proxy_session::prepare_retry(cw_proxy_exchange& exchange,
                                                     cw_attempt_result result,
                                                     cw_time_point owner_deadline) {
    if (exchange.body_consumed) {
        // The body has been streamed from the caller's connection and cannot be sent again.
        co_return false;
    }
    // Sending the request to the same owner again cannot succeed when the owner is unreachable or
    // answers that it is not the owner.
    const bool needs_new_owner = result == cw_attempt_result::not_connected ||
                                 result == cw_attempt_result::refused_not_owner;
    if (exchange.route.slice != nullptr && needs_new_owner) {
        const bool has_new_owner = co_await wait_for_newer_view(exchange, result);
        if (!has_new_owner &&
            (result == cw_attempt_result::not_connected || now() > owner_deadline)) {
            co_return false;
        }
    }
    ++exchange.state.attempts;
    if (result != cw_attempt_result::refused_not_owner) {
        traffic_.retry_budget.take_token();
    }
    traffic_.metrics.on_retry();
    co_return true;
}

net::awaitable<bool> cw_proxy_session::wait_for_newer_view(cw_proxy_exchange& exchange,
                                                           cw_attempt_result result) {
    // A new owner that refuses may not have received its grant yet, so it is tried again soon.
    const auto max_wait =
        result == cw_attempt_result::refused_not_owner ? not_owner_retry_wait : max_view_wait;
    const auto until = std::min<cw_time_point>(now() + max_wait, exchange.deadline);
    const std::string path{exchange.request.target()};
    const auto generation = exchange.route.slice->generation;
    net::steady_timer timer{traffic_.context};
    while (now() < until) {
        auto view = traffic_.shared.view();
        if (view != exchange.view) {
            const auto route = view->route_for(path);
            if (!route) {
                co_return false;
            }
            if (route->slice != nullptr && route->slice->generation != generation) {
                exchange.view = std::move(view);
                exchange.route = *route;
                co_return true;
            }
        }
        timer.expires_after(view_poll_interval);
        boost::system::error_code failure;
        co_await timer.async_wait(cw_redirect_error(failure));
    }
    co_return false;
}

net::awaitable<bool> cw_proxy_session::send_answer(cw_proxy_exchange& exchange,
                                                   cw_request_outcome outcome) {
    auto& message = exchange.answer;
    cw_remove_hop_by_hop_headers(message);
    message.version(11);
    message.set(cw_header_outcome, outcome == cw_request_outcome::answered      ? "answered"
                                   : outcome == cw_request_outcome::did_not_run ? "did-not-run"
                                                                                : "unknown");
    const bool closes_connection =
        traffic_.shared.is_stopping() || exchange.streamed_body != nullptr;
    message.keep_alive(!closes_connection);
    boost::system::error_code failure;
    caller_guard_.set_deadline(now() + cw_caller_timeout);
    if (exchange.request.method() == http::verb::head) {
        http::response_serializer<http::string_body> serializer{message};
        co_await http::async_write_header(caller_, serializer, cw_redirect_error(failure));
    } else {
        co_await http::async_write(caller_, message, cw_redirect_error(failure));
    }
    caller_guard_.set_deadline(cw_time_point::max());
    traffic_.metrics.on_answer(outcome, now() - exchange.started);
    co_return !failure;
}

net::awaitable<bool> cw_proxy_session::send_refusal(cw_proxy_exchange& exchange,
                                                    cw_request_outcome outcome) {
    const bool is_unknown = outcome == cw_request_outcome::unknown;
    exchange.answer =
        cw_make_response(is_unknown ? http::status::bad_gateway : http::status::service_unavailable,
                         exchange.reason + "\n", "text/plain");
    const auto delay =
        with_jitter(exchange.retry_after.count() == 0 ? retry_after_loss : exchange.retry_after);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay);
    exchange.answer.set(http::field::retry_after, std::to_string(seconds.count()));
    exchange.answer.set(cw_header_retry_after_ms, std::to_string(delay.count()));
    co_return co_await send_answer(exchange, outcome);
}
