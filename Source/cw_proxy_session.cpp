#include "cw_proxy_session.h"

#include "cw_async.h"
#include "cw_death_probe.h"
#include "cw_header_names.h"
#include "cw_hop_by_hop_headers.h"
#include "cw_key_hash.h"
#include "cw_reject.h"
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

/// Longest time from the first byte of a request to the end of its header.
constexpr auto header_timeout = 10s;
/// Time for the answer to a rejected request, and for the rest of that request.
constexpr auto linger_time = 500ms;
constexpr auto view_poll = 2ms;
/// Longest wait for a newer table: a planned move is over by then, and a loss takes longer.
constexpr std::chrono::milliseconds longest_view_wait = 100ms;
constexpr std::chrono::milliseconds owner_retry = 10ms;
/// Time left below which another attempt is pointless.
constexpr auto least_time_left = 1ms;
constexpr auto longest_deadline = 24h;
/// A lost upstream's keys are served again after about this long.
constexpr std::chrono::milliseconds return_after_loss = 600ms;
constexpr std::chrono::milliseconds return_when_full = 250ms;

auto now() {
    return std::chrono::steady_clock::now();
}

std::chrono::milliseconds spread(std::chrono::milliseconds base) {
    thread_local std::minstd_rand engine{std::random_device{}()};
    // Callers that were refused together should not come back together.
    return base + std::chrono::milliseconds{engine() % static_cast<std::uint64_t>(base.count())};
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
      caller_deadline_{traffic.sweeper, caller_, cw_time_point::max()},
      chooser_{traffic},
      runner_{traffic, caller_, caller_deadline_, buffer_} {}

net::awaitable<void> cw_proxy_session::run(std::unique_ptr<cw_proxy_session> session) {
    // The result is kept in a variable: g++ 12 miscompiles a loop whose condition awaits and whose
    // body is empty.
    bool open = true;
    while (open) {
        open = co_await session->serve_one();
    }
}

net::awaitable<bool> cw_proxy_session::serve_one() {
    cw_request_parser parser;
    parser.body_limit(boost::none);
    if (!co_await read_header(parser)) {
        co_return false;
    }
    ++traffic_.shared.open_requests;
    struct closing {
        std::atomic<std::int64_t>& count;
        ~closing() { --count; }
    } const closing_guard{traffic_.shared.open_requests};
    cw_proxy_exchange current;
    current.started = now();
    const bool keep_alive = parser.get().keep_alive();
    const bool complete = co_await read_body(parser, current);
    if (!complete) {
        co_return false;
    }
    current.request.base() = std::move(parser.get().base());
    bool intact = false;
    if (co_await admit(current, intact)) {
        intact = co_await forward(current);
    }
    const bool reusable = keep_alive && current.streamed_body == nullptr;
    co_return intact ? reusable && !traffic_.shared.is_stopping() : false;
}

net::awaitable<bool> cw_proxy_session::read_header(cw_request_parser& parser) {
    boost::system::error_code failure;
    if (buffer_.size() == 0) {
        caller_deadline_.extend(now() + cw_caller_timeout);
        co_await caller_.async_wait(net::ip::tcp::socket::wait_read, cw_redirect_error(failure));
        if (failure) {
            co_return false;
        }
    }
    caller_deadline_.extend(now() + header_timeout);
    co_await http::async_read_header(caller_, buffer_, parser, cw_redirect_error(failure));
    std::optional<cw_request_mistake> mistake;
    if (failure == net::error::operation_aborted) {
        mistake = cw_request_mistake{http::status::request_timeout,
                                     "the request takes too long to arrive"};
    } else if (failure) {
        mistake = cw_parse_mistake(failure);
    } else {
        mistake = cw_check_request(parser.get(), parser.chunked());
    }
    if (mistake) {
        co_await reject(*mistake);
    }
    caller_deadline_.extend(cw_time_point::max());
    co_return !failure && !mistake;
}

net::awaitable<void> cw_proxy_session::reject(cw_request_mistake mistake) {
    caller_deadline_.extend(now() + linger_time);
    co_await cw_reject(caller_, mistake);
}

net::awaitable<bool> cw_proxy_session::read_body(cw_request_parser& parser,
                                                 cw_proxy_exchange& current) {
    const auto length = parser.content_length();
    if (parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> go_on{http::status::continue_, 11};
        boost::system::error_code failure;
        co_await http::async_write(caller_, go_on, cw_redirect_error(failure));
    }
    if (parser.chunked() || (length && *length > cw_largest_held_body)) {
        current.streamed_body = &parser;
        co_return true;
    }
    if (!length || *length == 0) {
        co_return true;
    }
    boost::system::error_code failure;
    caller_deadline_.extend(now() + cw_caller_timeout);
    co_await http::async_read(caller_, buffer_, parser, cw_redirect_error(failure));
    caller_deadline_.extend(cw_time_point::max());
    current.request.body() = std::move(parser.get().body());
    co_return !failure;
}

void cw_proxy_session::prepare_request(cw_proxy_exchange& current) {
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
    cw_remove_hop_by_hop_headers(request);
    request.erase(http::field::expect);
    request.keep_alive(true);
    traffic_.budget.on_request();
}

net::awaitable<bool> cw_proxy_session::admit(cw_proxy_exchange& current, bool& intact) {
    current.view = traffic_.shared.view();
    if (current.view == nullptr) {
        current.reason = "no configuration is in force yet";
        intact = co_await answer_refusal(current, cw_outcome::did_not_run);
        co_return false;
    }
    auto route = current.view->find(std::string{current.request.target()});
    if (!route) {
        current.answer =
            cw_make_response(http::status::not_found, route.error().text() + "\n", "text/plain");
        intact = co_await answer(current, cw_outcome::did_not_run);
        co_return false;
    }
    current.route = *route;
    prepare_request(current);
    if (traffic_.shared.is_full_for(current.route.service->priority)) {
        current.reason = "the router is full";
        current.come_back = return_when_full;
        intact = co_await answer_refusal(current, cw_outcome::did_not_run);
        co_return false;
    }
    co_return true;
}

net::awaitable<cw_attempt_result> cw_proxy_session::attempt(cw_proxy_exchange& current) {
    cw_gate_slot slot;
    if (!co_await chooser_.choose(current, slot)) {
        co_return cw_attempt_result::refused_busy;
    }
    const auto result = co_await runner_.run(current);
    slot.finish(result, now());
    if (result != cw_attempt_result::answered) {
        current.tried.push_back(current.address);
    }
    co_await note_crashes(current, result);
    co_return result;
}

bool cw_proxy_session::is_refused_for_crashes(cw_proxy_exchange& current) const {
    const auto& crashes = traffic_.shared.crashes();
    if (!crashes.has_marks()) {
        return false;
    }
    const auto fingerprint = fingerprint_of(current.request);
    const bool is_keyed = current.route.slice != nullptr;
    const auto until =
        is_keyed ? crashes.keyed_refused_until(fingerprint) : crashes.refused_until(fingerprint);
    if (now() >= until) {
        return false;
    }
    current.reason = "this request crashed each upstream that ran it";
    current.come_back = std::chrono::ceil<std::chrono::milliseconds>(until - now());
    return true;
}

net::awaitable<void> cw_proxy_session::note_crashes(const cw_proxy_exchange& current,
                                                    cw_attempt_result result) {
    auto& crashes = traffic_.shared.crashes();
    if (result == cw_attempt_result::answered && crashes.has_marks()) {
        crashes.on_answer(fingerprint_of(current.request));
    }
    // An upstream that merely closed the connection still listens.
    if (result == cw_attempt_result::connection_lost && !current.streamed_answer &&
        co_await cw_is_dead(traffic_.context, current.address)) {
        crashes.on_crash(fingerprint_of(current.request), current.address, now());
    }
}

net::awaitable<bool> cw_proxy_session::forward(cw_proxy_exchange& current) {
    const auto owner_until = std::min<cw_time_point>(now() + longest_view_wait, current.deadline);
    while (true) {
        if (is_refused_for_crashes(current)) {
            // An earlier attempt may have run before its upstream died.
            co_return co_await answer_refusal(current, current.state.may_have_run
                                                           ? cw_outcome::unknown
                                                           : cw_outcome::did_not_run);
        }
        const auto result = co_await attempt(current);
        if (current.caller_mistake) {
            co_await reject(*current.caller_mistake);
            co_return false;
        }
        if (current.streamed_answer) {
            traffic_.metrics.on_answer(result == cw_attempt_result::answered ? cw_outcome::answered
                                                                             : cw_outcome::unknown,
                                       now() - current.started);
            co_return result == cw_attempt_result::answered;
        }
        if (result == cw_attempt_result::caller_left) {
            traffic_.metrics.on_abandoned();
            co_return false;
        }
        current.state.budget_left = traffic_.budget.has_token();
        current.state.time_left = now() + least_time_left < current.deadline;
        current.state.may_have_run = current.state.may_have_run || !cw_surely_did_not_run(result);
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
        if (!co_await prepare_retry(current, result, owner_until)) {
            co_return co_await answer_refusal(current, current.state.may_have_run
                                                           ? cw_outcome::unknown
                                                           : cw_outcome::did_not_run);
        }
    }
}

net::awaitable<bool> cw_proxy_session::prepare_retry(cw_proxy_exchange& current,
                                                     cw_attempt_result result,
                                                     cw_time_point owner_until) {
    if (current.body_consumed) {
        // The body has been read off the caller's connection and cannot be sent a second time.
        co_return false;
    }
    // Asking the same owner again is of no use when it cannot be reached or says it is not the
    // owner.
    const bool needs_new_owner = result == cw_attempt_result::not_connected ||
                                 result == cw_attempt_result::refused_not_owner;
    if (current.route.slice != nullptr && needs_new_owner) {
        const bool newer = co_await wait_for_newer_view(current, result);
        if (!newer && (result == cw_attempt_result::not_connected || now() > owner_until)) {
            co_return false;
        }
    }
    ++current.state.attempts;
    if (result != cw_attempt_result::refused_not_owner) {
        traffic_.budget.take();
    }
    traffic_.metrics.on_retry();
    co_return true;
}

net::awaitable<bool> cw_proxy_session::wait_for_newer_view(cw_proxy_exchange& current,
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
        co_await timer.async_wait(cw_redirect_error(failure));
    }
    co_return false;
}

net::awaitable<bool> cw_proxy_session::answer(cw_proxy_exchange& current, cw_outcome outcome) {
    auto& message = current.answer;
    cw_remove_hop_by_hop_headers(message);
    message.version(11);
    message.set(cw_header_outcome, outcome == cw_outcome::answered      ? "answered"
                                   : outcome == cw_outcome::did_not_run ? "did-not-run"
                                                                        : "unknown");
    const bool last = traffic_.shared.is_stopping() || current.streamed_body != nullptr;
    message.keep_alive(!last);
    boost::system::error_code failure;
    caller_deadline_.extend(now() + cw_caller_timeout);
    if (current.request.method() == http::verb::head) {
        http::response_serializer<http::string_body> serializer{message};
        co_await http::async_write_header(caller_, serializer, cw_redirect_error(failure));
    } else {
        co_await http::async_write(caller_, message, cw_redirect_error(failure));
    }
    caller_deadline_.extend(cw_time_point::max());
    traffic_.metrics.on_answer(outcome, now() - current.started);
    co_return !failure;
}

net::awaitable<bool> cw_proxy_session::answer_refusal(cw_proxy_exchange& current,
                                                      cw_outcome outcome) {
    const bool unknown = outcome == cw_outcome::unknown;
    current.answer =
        cw_make_response(unknown ? http::status::bad_gateway : http::status::service_unavailable,
                         current.reason + "\n", "text/plain");
    const auto back =
        spread(current.come_back.count() == 0 ? return_after_loss : current.come_back);
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(back);
    current.answer.set(http::field::retry_after, std::to_string(seconds.count()));
    current.answer.set(cw_header_retry_after_ms, std::to_string(back.count()));
    co_return co_await answer(current, outcome);
}
