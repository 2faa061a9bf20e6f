#include "cw_proxy_session.h"

#include "cw_address.h"
#include "cw_async.h"
#include "cw_body_relay.h"
#include "cw_header_names.h"
#include "cw_router_shared.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
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

constexpr auto idle_timeout = 60s;
constexpr auto connect_timeout = 250ms;
constexpr auto view_poll = 2ms;
/// Longest wait for a newer table: a planned move is over by then, and a loss takes longer.
constexpr std::chrono::milliseconds longest_view_wait = 100ms;
constexpr std::chrono::milliseconds owner_retry = 10ms;
constexpr auto longest_slot_wait = 100ms;
constexpr auto slot_poll = 1ms;
constexpr auto longest_deadline = 24h;
/// Bodies up to this size are held whole.
constexpr std::uint64_t largest_held_body = 262'144;
/// A lost upstream's keys are served again after about this long.
constexpr std::int64_t return_after_loss_ms = 600;
constexpr std::int64_t return_when_busy_ms = 100;

auto now() {
    return std::chrono::steady_clock::now();
}

std::int64_t spread(std::int64_t base) {
    thread_local std::minstd_rand engine{std::random_device{}()};
    // Callers that were refused together should not come back together.
    return base + static_cast<std::int64_t>(engine() % static_cast<std::uint64_t>(base));
}

bool is_idempotent(http::verb verb) {
    return verb == http::verb::get || verb == http::verb::head || verb == http::verb::options ||
           verb == http::verb::put || verb == http::verb::delete_;
}

std::optional<std::int64_t> header_number(const cw_http_request& request, const char* name) {
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

void remove_hop_headers(auto& message) {
    message.erase(http::field::proxy_connection);
    message.erase(http::field::upgrade);
    message.erase(http::field::te);
    message.erase("Keep-Alive");
}

/// Counts one request as in hand at an upstream for as long as it lives.
class in_flight_guard {
public:
    explicit in_flight_guard(cw_in_flight& counter)
        : counter_{counter} {
        ++counter_.count;
    }
    ~in_flight_guard() { --counter_.count; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

private:
    cw_in_flight& counter_;
};

} // namespace

cw_proxy_session::cw_proxy_session(cw_traffic_context& traffic, net::ip::tcp::socket socket)
    : traffic_{traffic},
      caller_{std::move(socket)},
      caller_deadline_{traffic.sweeper, caller_, cw_time_point::max()} {}

net::awaitable<void> cw_proxy_session::run(std::unique_ptr<cw_proxy_session> session) {
    // The result is kept in a variable: g++ 12 miscompiles a loop whose condition awaits and whose
    // body is empty.
    bool open = true;
    while (open) {
        open = co_await session->serve_one();
    }
}

net::awaitable<bool> cw_proxy_session::serve_one() {
    header_parser parser;
    parser.body_limit(boost::none);
    boost::system::error_code failure;
    caller_deadline_.extend(now() + idle_timeout);
    co_await http::async_read_header(caller_, buffer_, parser, cw_into(failure));
    if (failure) {
        co_return false;
    }
    caller_deadline_.extend(cw_time_point::max());
    ++traffic_.shared.open_requests;
    struct closing {
        std::atomic<std::int64_t>& count;
        ~closing() { --count; }
    } const closing_guard{traffic_.shared.open_requests};
    exchange current;
    current.started = now();
    const bool keep_alive = parser.get().keep_alive();
    const bool complete = co_await read_body(parser, current);
    if (!complete) {
        co_return false;
    }
    current.request.base() = std::move(parser.get().base());
    const bool intact = co_await forward(current);
    const bool reusable = keep_alive && current.streamed_body == nullptr;
    co_return intact ? reusable && !traffic_.shared.is_stopping() : false;
}

net::awaitable<bool> cw_proxy_session::read_body(header_parser& parser, exchange& current) {
    const auto length = parser.content_length();
    if (parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> go_on{http::status::continue_, 11};
        boost::system::error_code failure;
        co_await http::async_write(caller_, go_on, cw_into(failure));
    }
    if (parser.chunked() || (length && *length > largest_held_body)) {
        current.streamed_body = &parser;
        co_return true;
    }
    if (!length || *length == 0) {
        co_return true;
    }
    boost::system::error_code failure;
    caller_deadline_.extend(now() + idle_timeout);
    co_await http::async_read(caller_, buffer_, parser, cw_into(failure));
    caller_deadline_.extend(cw_time_point::max());
    current.request.body() = std::move(parser.get().body());
    co_return !failure;
}

void cw_proxy_session::prepare_request(exchange& current) {
    auto& request = current.request;
    const auto asked = header_number(request, cw_header_deadline_ms);
    const auto limit = asked && *asked > 0
                           ? std::min<std::chrono::milliseconds>(std::chrono::milliseconds{*asked},
                                                                 longest_deadline)
                           : current.route.service->default_deadline;
    current.deadline = current.started + limit;
    current.state.idempotent = is_idempotent(request.method()) && current.streamed_body == nullptr;
    if (request[cw_header_request_id].empty()) {
        request.set(cw_header_request_id, new_request_id());
    }
    remove_hop_headers(request);
    request.erase(http::field::expect);
    request.keep_alive(true);
    traffic_.budget.on_request();
}

net::awaitable<bool> cw_proxy_session::forward(exchange& current) {
    current.view = traffic_.shared.view();
    const std::string path{current.request.target()};
    if (current.view == nullptr) {
        current.reason = "no configuration is in force yet";
        current.route.service = nullptr;
        co_return co_await answer_refusal(current, cw_outcome::did_not_run);
    }
    auto route = current.view->find(path);
    if (!route) {
        current.answer =
            cw_make_response(http::status::not_found, route.error().text() + "\n", "text/plain");
        co_return co_await answer(current, cw_outcome::did_not_run);
    }
    current.route = *route;
    prepare_request(current);
    const auto owner_until = std::min<cw_time_point>(now() + longest_view_wait, current.deadline);
    while (true) {
        const auto result = co_await attempt(current);
        if (current.streamed_answer) {
            traffic_.metrics.on_answer(result == cw_attempt_result::answered ? cw_outcome::answered
                                                                             : cw_outcome::unknown,
                                       now() - current.started);
            co_return result == cw_attempt_result::answered;
        }
        current.state.budget_left = traffic_.budget.has_token();
        current.state.time_left = now() + slot_poll < current.deadline;
        switch (cw_decide_next(result, current.state)) {
        case cw_next_step::pass_on:
            co_return co_await answer(current, cw_outcome::answered);
        case cw_next_step::refuse:
            co_return co_await answer_refusal(current, cw_outcome::did_not_run);
        case cw_next_step::report_unknown:
            co_return co_await answer_refusal(current, cw_outcome::unknown);
        case cw_next_step::retry_elsewhere:
            break;
        }
        if (current.body_consumed) {
            // The body has been read off the caller's connection and cannot be sent a second time.
            co_return co_await answer_refusal(current, cw_surely_did_not_run(result)
                                                           ? cw_outcome::did_not_run
                                                           : cw_outcome::unknown);
        }
        // Asking the same owner again is of no use when it cannot be reached or says it is not the
        // owner.
        const bool needs_new_owner = result == cw_attempt_result::not_connected ||
                                     result == cw_attempt_result::refused_not_owner;
        if (current.route.slice != nullptr && needs_new_owner) {
            const bool newer = co_await wait_for_newer_view(current, result);
            if (!newer && (result == cw_attempt_result::not_connected || now() > owner_until)) {
                co_return co_await answer_refusal(current, cw_outcome::did_not_run);
            }
        }
        ++current.state.attempts;
        if (result != cw_attempt_result::refused_not_owner) {
            traffic_.budget.take();
        }
        traffic_.metrics.on_retry();
    }
}

net::awaitable<bool> cw_proxy_session::wait_for_newer_view(exchange& current,
                                                           cw_attempt_result result) {
    // A new owner that refuses may just not have its grant yet, so it is asked again soon.
    const auto patience =
        result == cw_attempt_result::refused_not_owner ? owner_retry : longest_view_wait;
    const auto until = std::min<cw_time_point>(now() + patience, current.deadline);
    const std::string path{current.request.target()};
    const auto generation = current.route.slice->generation;
    net::steady_timer timer{traffic_.context};
    while (now() < until) {
        auto view = traffic_.shared.view();
        if (view != current.view) {
            const auto route = view->find(path);
            if (!route) {
                co_return false;
            }
            if (route->slice != nullptr && route->slice->generation != generation) {
                current.view = std::move(view);
                current.route = *route;
                co_return true;
            }
        }
        timer.expires_after(view_poll);
        boost::system::error_code failure;
        co_await timer.async_wait(cw_into(failure));
    }
    co_return false;
}

net::awaitable<bool> cw_proxy_session::choose_upstream(exchange& current) {
    const auto limit = current.route.service->slots;
    const auto until = std::min<cw_time_point>(now() + longest_slot_wait, current.deadline);
    std::vector<std::string> choices;
    if (current.route.slice != nullptr) {
        choices.push_back(current.route.address);
    } else {
        choices = current.view->pool(current.route.service->name, traffic_.shared.domain());
    }
    net::steady_timer timer{traffic_.context};
    while (true) {
        const auto* best = static_cast<const std::string*>(nullptr);
        auto least = limit;
        for (const auto& address : choices) {
            const auto count = traffic_.shared.in_flight(address).count.load();
            if (count < least && (best == nullptr || current.state.attempts == 1)) {
                least = count;
                best = &address;
            }
        }
        if (best != nullptr) {
            current.address = *best;
            co_return true;
        }
        if (choices.empty() || now() >= until) {
            co_return false;
        }
        timer.expires_after(slot_poll);
        boost::system::error_code failure;
        co_await timer.async_wait(cw_into(failure));
    }
}

net::awaitable<cw_attempt_result> cw_proxy_session::attempt(exchange& current) {
    if (!co_await choose_upstream(current)) {
        current.reason = "no upstream has a free slot";
        co_return cw_attempt_result::refused_busy;
    }
    const in_flight_guard guard{traffic_.shared.in_flight(current.address)};
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
        const auto endpoint = cw_address::parse(current.address);
        if (!endpoint) {
            current.reason = "the upstream's address is unreadable";
            co_return cw_attempt_result::not_connected;
        }
        upstream = traffic_.pool.make();
        boost::system::error_code failure;
        const cw_deadline_sweeper::guard connecting{
            traffic_.sweeper, *upstream,
            std::min<cw_time_point>(now() + connect_timeout, current.deadline)};
        co_await upstream->async_connect(endpoint->tcp(), cw_into(failure));
        if (failure) {
            current.reason = "connect: " + failure.message();
            co_return cw_attempt_result::not_connected;
        }
        upstream->set_option(net::ip::tcp::no_delay{true}, failure);
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

net::awaitable<cw_attempt_result>
cw_proxy_session::send_and_receive(exchange& current, cw_upstream_pool::stream& upstream) {
    const cw_deadline_sweeper::guard waiting{traffic_.sweeper, upstream, current.deadline};
    if (current.streamed_body != nullptr) {
        current.body_consumed = true;
        if (!co_await stream_request(current, upstream)) {
            co_return cw_attempt_result::connection_lost;
        }
    } else {
        boost::system::error_code failure;
        if (!current.request.body().empty() || current.request.has_content_length()) {
            current.request.content_length(current.request.body().size());
        }
        co_await http::async_write(upstream, current.request, cw_into(failure));
        if (failure) {
            current.reason = "send: " + failure.message();
            co_return failure_after_sending(failure);
        }
    }
    co_return co_await receive(current, upstream);
}

net::awaitable<bool> cw_proxy_session::stream_request(exchange& current,
                                                      cw_upstream_pool::stream& upstream) {
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
    co_await http::async_write_header(upstream, serializer, cw_into(failure));
    if (failure) {
        current.reason = "send to the upstream: " + failure.message();
        co_return false;
    }
    const auto extend_caller = [this] { caller_deadline_.extend(now() + idle_timeout); };
    const auto result = co_await cw_relay_body(caller_, buffer_, parser, upstream, message,
                                               serializer, extend_caller, [] {});
    caller_deadline_.extend(cw_time_point::max());
    if (result.source) {
        current.reason = "receive from the caller: " + result.source.message();
    } else if (result.sink) {
        current.reason = "send to the upstream: " + result.sink.message();
    }
    co_return result.is_whole();
}

net::awaitable<cw_attempt_result> cw_proxy_session::receive(exchange& current,
                                                            cw_upstream_pool::stream& upstream) {
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> head;
    head.body_limit(boost::none);
    head.skip(current.request.method() == http::verb::head);
    boost::system::error_code failure;
    co_await http::async_read_header(upstream, buffer, head, cw_into(failure));
    if (failure) {
        current.reason = "receive: " + failure.message();
        co_return failure_after_sending(failure);
    }
    const auto length = head.content_length();
    const bool has_body = !head.is_done();
    if (has_body && (!length || *length > largest_held_body)) {
        co_return co_await stream_answer(current, upstream, buffer, head);
    }
    if (has_body) {
        co_await http::async_read(upstream, buffer, head, cw_into(failure));
    }
    if (failure) {
        current.reason = "receive: " + failure.message();
        co_return failure_after_sending(failure);
    }
    current.answer = head.release();
    if (const auto refused = refusal_of(current.answer)) {
        current.reason =
            "refused by the upstream: " + std::string{current.answer[cw_header_refused]};
        co_return *refused;
    }
    co_return cw_attempt_result::answered;
}

template <typename Parser>
net::awaitable<cw_attempt_result>
cw_proxy_session::stream_answer(exchange& current, cw_upstream_pool::stream& upstream,
                                boost::beast::flat_buffer& buffer, Parser& head) {
    const auto length = head.content_length();
    http::response_parser<http::buffer_body> parser{std::move(head)};
    http::response<http::buffer_body> message;
    message.base() = parser.get().base();
    remove_hop_headers(message);
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
    const auto extend_caller = [this] { caller_deadline_.extend(now() + idle_timeout); };
    extend_caller();
    co_await http::async_write_header(caller_, serializer, cw_into(failure));
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

net::awaitable<bool> cw_proxy_session::answer(exchange& current, cw_outcome outcome) {
    auto& message = current.answer;
    remove_hop_headers(message);
    message.version(11);
    message.set(cw_header_outcome, outcome == cw_outcome::answered      ? "answered"
                                   : outcome == cw_outcome::did_not_run ? "did-not-run"
                                                                        : "unknown");
    const bool last = traffic_.shared.is_stopping() || current.streamed_body != nullptr;
    message.keep_alive(!last);
    boost::system::error_code failure;
    caller_deadline_.extend(now() + idle_timeout);
    if (current.request.method() == http::verb::head) {
        http::response_serializer<http::string_body> serializer{message};
        co_await http::async_write_header(caller_, serializer, cw_into(failure));
    } else {
        co_await http::async_write(caller_, message, cw_into(failure));
    }
    caller_deadline_.extend(cw_time_point::max());
    traffic_.metrics.on_answer(outcome, now() - current.started);
    co_return !failure;
}

net::awaitable<bool> cw_proxy_session::answer_refusal(exchange& current, cw_outcome outcome) {
    const bool unknown = outcome == cw_outcome::unknown;
    const bool busy = current.reason.find("slot") != std::string::npos ||
                      current.reason.find("busy") != std::string::npos;
    current.answer =
        cw_make_response(unknown ? http::status::bad_gateway : http::status::service_unavailable,
                         current.reason + "\n", "text/plain");
    const auto back = spread(busy ? return_when_busy_ms : return_after_loss_ms);
    current.answer.set(http::field::retry_after, std::to_string((back + 999) / 1000));
    current.answer.set(cw_header_retry_after_ms, std::to_string(back));
    co_return co_await answer(current, outcome);
}
