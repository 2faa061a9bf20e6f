#pragma once

#include "cw_gateway_attempt.h"
#include "cw_gateway_options.h"
#include "cw_gateway_upstream_selector.h"
#include "cw_hop_by_hop_headers.h"
#include "cw_key_hash.h"
#include "cw_liveness_probe.h"
#include "cw_read_room.h"
#include "cw_reject_request.h"
#include "cw_request_validation.h"
#include "cw_socket_timeout.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <memory>

/// One caller's connection: reads requests, forwards each to an upstream, and writes the answers.
///
/// Requests and answers are buffered in full. A request can therefore be sent again where that is
/// safe, and an answer is forwarded only when it has arrived completely.
template <cw_gateway_dialect Dialect>
class cw_gateway_session {
public:
    cw_gateway_session(cw_gateway_traffic& traffic, boost::asio::ip::tcp::socket caller)
        : traffic_{traffic},
          caller_{std::move(caller)},
          timeout_{traffic.context()} {}

    /// Serves the connection until either side closes it.
    static boost::asio::awaitable<void> run(std::unique_ptr<cw_gateway_session> session) {
        // The result is stored in a variable because g++ 12 miscompiles a loop with an empty body
        // and a co_await in its condition.
        bool is_open = true;
        while (is_open) {
            is_open = co_await session->serve_next_request();
        }
    }

private:
    using status = boost::beast::http::status;
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using milliseconds = std::chrono::milliseconds;

    /// Maximum time for a caller to send a request's body, or to receive an answer.
    static constexpr std::chrono::seconds transfer_timeout{20};
    /// The deadline is this much before the end of the caller's own time limit.
    static constexpr milliseconds answer_margin{20};
    /// Minimum time left before the deadline for which another attempt is made.
    static constexpr milliseconds min_time_left{20};
    /// Retry-after time while no configuration, or none that is surely the latest, is known.
    static constexpr milliseconds unready_retry_after{500};
    /// Retry-after time of a request that another host should serve, because this one stops.
    static constexpr milliseconds stopping_retry_after{20};
    /// Multiple of the target latency within which an idempotent request is expected to end.
    static constexpr int expected_target_multiple = 2;
    /// Maximum time for sending the answer to a rejected request and reading the rest of it.
    static constexpr milliseconds linger_time{500};
    /// Failed connects that do not count as attempts, for services without keys.
    static constexpr std::uint32_t max_uncounted_connect_failures = 2;
    /// Maximum attempts while each upstream answers that it does not own the key.
    static constexpr std::uint32_t max_not_owner_attempts = 3;

    static cw_time_point now() { return std::chrono::steady_clock::now(); }

    /// Returns false when the connection is to be closed.
    boost::asio::awaitable<bool> serve_next_request() {
        const auto config = traffic_.view()->config;
        const auto limits = config == nullptr ? cw_caller_limits{} : config->limits();
        parser_type parser;
        parser.header_limit(limits.max_header_bytes);
        parser.body_limit(limits.max_body_bytes);
        // Each caller pays for its own request only.
        cw_buffer_budget::buffer memory{traffic_.request_budget(), {}};
        if (!co_await read_request(parser, limits, memory)) {
            co_return false;
        }
        memory.pin();
        ++traffic_.open_requests;
        const bool keep_alive = parser.get().keep_alive();
        cw_gateway_exchange exchange;
        exchange.started = now();
        exchange.request = parser.release();
        exchange.metadata = Dialect::metadata_of(exchange.request);
        const bool was_written = co_await handle_request(exchange);
        --traffic_.open_requests;
        co_return was_written&& keep_alive && !traffic_.view()->stopping;
    }

    /// Returns false when the connection stayed idle too long or has ended.
    boost::asio::awaitable<bool> wait_for_request(const cw_caller_limits& limits) {
        if (buffer_.size() != 0) {
            co_return true;
        }
        const auto position =
            traffic_.idle_connections.insert(traffic_.idle_connections.end(), &caller_);
        timeout_.set(caller_, now() + limits.idle_timeout);
        boost::system::error_code failure;
        co_await caller_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                                    cw_redirect_error(failure));
        traffic_.idle_connections.erase(position);
        const bool is_late = timeout_.has_expired();
        timeout_.clear();
        // A shutdown cancels the wait; a request that has already arrived is still served.
        co_return !is_late && (!failure || caller_.available(failure) != 0);
    }

    boost::asio::awaitable<bool> read_request(parser_type& parser, const cw_caller_limits& limits,
                                              cw_buffer_budget::buffer& memory) {
        namespace http = boost::beast::http;
        if (!co_await wait_for_request(limits)) {
            co_return false;
        }
        boost::system::error_code failure;
        timeout_.set(caller_, now() + limits.header_timeout);
        co_await http::async_read_header(caller_, buffer_, parser, cw_redirect_error(failure));
        if (!failure) {
            if (const auto error = cw_validate_request(parser.get(), parser.chunked())) {
                timeout_.clear();
                co_await reject(*error);
                co_return false;
            }
            if (parser.get()[http::field::expect] == "100-continue") {
                http::response<http::empty_body> continue_answer{status::continue_, 11};
                co_await http::async_write(caller_, continue_answer, cw_redirect_error(failure));
            }
            timeout_.set(caller_, now() + transfer_timeout);
            failure = co_await read_body(parser, memory);
        }
        const bool is_late = timeout_.has_expired();
        timeout_.clear();
        if (memory.is_evicted()) {
            traffic_.metrics().increment("requests_beyond_memory");
            co_await reject(
                {status::service_unavailable, "this host holds too many large requests"});
            co_return false;
        }
        if (!failure) {
            co_return true;
        }
        if (is_late) {
            co_await reject({status::request_timeout, "the request takes too long to arrive"});
        } else if (const auto error = cw_parse_error(failure)) {
            co_await reject(*error);
        }
        co_return false;
    }

    /// Reads the rest of a request, until all requests together need too much memory and this one
    /// is the largest of those that are being read.
    boost::asio::awaitable<boost::system::error_code> read_body(parser_type& parser,
                                                                cw_buffer_budget::buffer& memory) {
        boost::system::error_code failure;
        memory.on_eviction([this] {
            boost::system::error_code ignored;
            caller_.cancel(ignored);
        });
        const auto count_memory = [&] {
            memory.resize(parser.get().body().capacity() + buffer_.capacity());
        };
        while (!failure && !parser.is_done()) {
            cw_make_read_room(buffer_, parser, cw_traffic_read_room);
            count_memory();
            if (memory.is_evicted()) {
                break;
            }
            co_await boost::beast::http::async_read_some(caller_, buffer_, parser,
                                                         cw_redirect_error(failure));
        }
        cw_release_read_room(buffer_);
        count_memory();
        memory.on_eviction(nullptr);
        co_return failure;
    }

    /// Responds to an invalid or incomplete request with its error and closes the connection.
    boost::asio::awaitable<void> reject(cw_request_error error) {
        traffic_.metrics().increment("rejected_requests");
        traffic_.log().info(
            "Rejected.",
            {{"status", std::to_string(static_cast<int>(error.status))}, {"reason", error.reason}});
        timeout_.set(caller_, now() + linger_time);
        co_await cw_reject_request(caller_, error);
        timeout_.clear();
    }

    /// Returns false when no answer was written.
    boost::asio::awaitable<bool> handle_request(cw_gateway_exchange& exchange) {
        exchange.view = traffic_.view();
        exchange.config = exchange.view->config;
        if (exchange.config == nullptr) {
            exchange.reason = "no configuration is known yet";
            exchange.retry_after = unready_retry_after;
            co_return co_await send_refusal(exchange);
        }
        if (traffic_.is_config_overdue(cw_boot_clock::now())) {
            exchange.reason = "a later configuration has to be in force and is not yet";
            exchange.retry_after = unready_retry_after;
            co_return co_await send_refusal(exchange);
        }
        const auto target = exchange.request.target();
        const auto path = std::string_view{target.data(), target.size()};
        const auto host = exchange.request[boost::beast::http::field::host];
        exchange.route =
            exchange.config->find({host.data(), host.size()}, path.substr(0, path.find('?')));
        if (exchange.route == nullptr && traffic_.is_config_outdated(cw_boot_clock::now())) {
            exchange.reason = "the route may be in a configuration that is not known here yet";
            exchange.retry_after = unready_retry_after;
            co_return co_await send_refusal(exchange);
        }
        if (exchange.route == nullptr) {
            exchange.reason = "no route has this host name and path";
            co_return co_await send_error_answer(exchange, status::not_found);
        }
        exchange.service = traffic_.choose_service(*exchange.route);
        prepare_request(exchange);
        if (is_too_late_before_stop(exchange)) {
            exchange.reason = "this host stops before the request has surely ended";
            exchange.retry_after = stopping_retry_after;
            co_return co_await send_refusal(exchange);
        }
        exchange.deadline = std::min(exchange.deadline, traffic_.answers_until());
        cw_attempt_result result{};
        {
            cw_call_watch watch{traffic_.context(), caller_, buffer_};
            result = co_await forward(exchange, watch);
        }
        co_return co_await respond(exchange, result);
    }

    /// Sets the deadline and the attempt limits, and makes the request fit to be forwarded.
    void prepare_request(cw_gateway_exchange& exchange) {
        auto limit = exchange.route->timeout;
        if (exchange.metadata.time_limit) {
            limit = std::min(limit, *exchange.metadata.time_limit - answer_margin);
        }
        exchange.deadline = exchange.started + std::max(limit, milliseconds{1});
        exchange.state.idempotent = exchange.route->repeatable;
        exchange.state.max_attempts = exchange.route->max_attempts;
        exchange.state.max_not_owner_attempts = max_not_owner_attempts;
        exchange.state.attempts = 0;
        auto& request = exchange.request;
        cw_remove_hop_by_hop_headers(request);
        request.erase(boost::beast::http::field::expect);
        request.version(11);
        request.keep_alive(true);
        if (request.chunked()) {
            request.chunked(false);
        }
        if (!request.body().empty() || request.has_content_length()) {
            request.content_length(request.body().size());
        }
        traffic_.retry_budget(exchange.service).on_request();
    }

    /// True if the request may still run when this process ends, so that another host should serve
    /// it. An idempotent one may be sent there afterwards as well, and is refused only if it is not
    /// expected to end in time.
    [[nodiscard]] bool is_too_late_before_stop(const cw_gateway_exchange& exchange) const {
        const auto until = traffic_.answers_until();
        if (exchange.deadline <= until || exchange.view->hosts == 1) {
            return false;
        }
        return !exchange.route->repeatable ||
               exchange.started + expected_target_multiple * exchange.route->target > until;
    }

    /// Makes attempts until the request is answered or must not be sent again.
    boost::asio::awaitable<cw_attempt_result> forward(cw_gateway_exchange& exchange,
                                                      cw_call_watch& watch) {
        cw_gateway_upstream_selector selector{traffic_, watch};
        cw_gateway_attempt<Dialect> attempt{traffic_, watch};
        while (true) {
            if (is_refused_for_crashes(exchange)) {
                co_return cw_attempt_result::refused_busy;
            }
            if (!co_await selector.select(exchange)) {
                co_return watch.has_caller_left() ? cw_attempt_result::caller_left
                                                  : cw_attempt_result::refused_busy;
            }
            auto& budget = traffic_.retry_budget(exchange.service);
            if (exchange.send_count > 0) {
                budget.take_token();
                traffic_.metrics().increment("retries");
            }
            const auto result = co_await attempt.run(exchange);
            update_crash_tracking(exchange, result);
            // Without keys, the first failed connects cost no attempt: other upstreams can be
            // tried.
            const bool is_unreachable = result == cw_attempt_result::not_connected;
            if (!is_unreachable || exchange.fence != 0 ||
                ++exchange.connect_failures > max_uncounted_connect_failures) {
                ++exchange.state.attempts;
            }
            exchange.state.may_have_run = exchange.state.may_have_run || !cw_has_not_run(result);
            exchange.state.has_retry_token = traffic_.retry_budget(exchange.service).has_token();
            exchange.state.has_time_left = now() + min_time_left < exchange.deadline;
            if (result == cw_attempt_result::caller_left || !may_retry(exchange, result)) {
                co_return result;
            }
            exchange.failed_upstreams.push_back(exchange.upstream.id);
            if (result == cw_attempt_result::refused_not_owner) {
                exchange.refused_fence = exchange.fence;
            }
            traffic_.log().info("Tries again.", log_fields(exchange, result));
        }
    }

    static std::uint64_t fingerprint_of(const cw_gateway_exchange& exchange) {
        const auto method = exchange.request.method_string();
        const auto target = exchange.request.target();
        return cw_request_fingerprint({method.data(), method.size()},
                                      {target.data(), target.size()}, exchange.request.body());
    }

    bool is_refused_for_crashes(cw_gateway_exchange& exchange) {
        auto& filter = traffic_.crash_filter();
        if (!filter.has_suspects()) {
            return false;
        }
        const auto fingerprint = fingerprint_of(exchange);
        const auto service = exchange.config->services().find(exchange.service);
        const bool is_keyed = service != exchange.config->services().end() && service->second.keyed;
        const auto until =
            is_keyed ? filter.keyed_refused_until(fingerprint) : filter.refused_until(fingerprint);
        if (now() >= until) {
            return false;
        }
        exchange.reason = "this request crashed each upstream that ran it";
        exchange.retry_after = std::chrono::ceil<milliseconds>(until - now());
        return true;
    }

    /// Records a crash when the upstream went down during the request. An answer resets the crash
    /// count of its request.
    void update_crash_tracking(const cw_gateway_exchange& exchange, cw_attempt_result result) {
        auto& filter = traffic_.crash_filter();
        if (result == cw_attempt_result::answered && filter.has_suspects()) {
            filter.on_answer(fingerprint_of(exchange));
        }
        if (result == cw_attempt_result::connection_lost) {
            boost::asio::co_spawn(
                traffic_.context(),
                record_crash_if_down(traffic_, fingerprint_of(exchange), exchange.upstream.address),
                boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> record_crash_if_down(cw_gateway_traffic& traffic,
                                                             std::uint64_t fingerprint,
                                                             std::string address) {
        // The result is stored in a variable because g++ 12 miscompiles a coroutine that consists
        // of a single condition with co_await.
        const bool is_down = co_await cw_is_down(traffic.context(), address);
        if (is_down) {
            traffic.crash_filter().on_crash(fingerprint, address, now());
        }
    }

    static bool may_retry(const cw_gateway_exchange& exchange, cw_attempt_result result) {
        // Only the owner can serve a key, and its queue is unlikely to be shorter on a retry.
        if (exchange.fence != 0 && result == cw_attempt_result::refused_busy) {
            return false;
        }
        // Each retry after a request was sent counts against the retry budget, even if no upstream
        // ran it.
        return cw_decide_next_step(result, exchange.state) == cw_next_step::retry &&
               (exchange.send_count == 0 || exchange.state.has_retry_token);
    }

    boost::asio::awaitable<bool> respond(cw_gateway_exchange& exchange, cw_attempt_result result) {
        if (result == cw_attempt_result::caller_left) {
            traffic_.metrics().increment("abandoned_requests");
            traffic_.log().info("Caller left.", log_fields(exchange, result));
            co_return false;
        }
        if (result == cw_attempt_result::answered) {
            co_return co_await forward_answer(exchange);
        }
        if (!exchange.state.may_have_run) {
            co_return co_await send_refusal(exchange);
        }
        co_return co_await send_error_answer(exchange, result == cw_attempt_result::timed_out
                                                           ? status::gateway_timeout
                                                           : status::bad_gateway);
    }

    boost::asio::awaitable<bool> forward_answer(cw_gateway_exchange& exchange) {
        auto& answer = exchange.answer;
        cw_remove_hop_by_hop_headers(answer);
        if (exchange.request.method() != boost::beast::http::verb::head) {
            answer.chunked(false);
            answer.content_length(answer.body().size());
        }
        traffic_.metrics().increment("answered_requests");
        traffic_.log().info("Answered.", log_fields(exchange, cw_attempt_result::answered));
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
        auto list = log_fields(exchange, cw_attempt_result::refused_busy);
        list.emplace_back("return_ms", std::to_string(retry_after.count()));
        traffic_.log().info("Refused.", list);
        Dialect::set_attempt_id(exchange.answer, exchange.metadata.attempt_id);
        co_return co_await write_answer(exchange);
    }

    boost::asio::awaitable<bool> send_error_answer(cw_gateway_exchange& exchange, status code) {
        exchange.answer = cw_make_response(code, exchange.reason + "\n", "text/plain");
        traffic_.metrics().increment("failed_requests");
        auto list = log_fields(exchange, cw_attempt_result::malformed);
        list.emplace_back("status", std::to_string(static_cast<int>(code)));
        traffic_.log().info("Failed.", list);
        Dialect::set_attempt_id(exchange.answer, exchange.metadata.attempt_id);
        co_return co_await write_answer(exchange);
    }

    boost::asio::awaitable<bool> write_answer(cw_gateway_exchange& exchange) {
        namespace http = boost::beast::http;
        auto& answer = exchange.answer;
        answer.version(11);
        answer.keep_alive(exchange.request.keep_alive() && !traffic_.view()->stopping);
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

    /// Log fields with the data on which the decision about the request was based.
    std::vector<cw_log_field> log_fields(const cw_gateway_exchange& exchange,
                                         cw_attempt_result result) const {
        const auto elapsed =
            std::chrono::duration_cast<milliseconds>(now() - exchange.started).count();
        std::vector<cw_log_field> list{
            {"id", exchange.metadata.attempt_id},
            {"route", exchange.route == nullptr ? "" : exchange.route->name},
            {"config", std::to_string(exchange.config == nullptr ? 0 : exchange.config->version())},
            {"upstream", exchange.upstream.id},
            {"sent", std::to_string(exchange.send_count)},
            {"ms", std::to_string(elapsed)}};
        if (exchange.metadata.key) {
            list.emplace_back("key", std::to_string(*exchange.metadata.key));
            list.emplace_back("fence", std::to_string(exchange.fence));
        }
        if (result != cw_attempt_result::answered) {
            list.emplace_back("reason", exchange.reason);
        }
        return list;
    }

    cw_gateway_traffic& traffic_;
    boost::asio::ip::tcp::socket caller_;
    cw_socket_timeout timeout_;
    boost::beast::flat_buffer buffer_{cw_max_read_buffer};
};
