#pragma once

#include "cw_async_condition.h"
#include "cw_buffered_request.h"
#include "cw_gateway_answer_writer.h"
#include "cw_gateway_attempt.h"
#include "cw_gateway_call.h"
#include "cw_gateway_log_fields.h"
#include "cw_gateway_options.h"
#include "cw_gateway_request_reader.h"
#include "cw_gateway_upstream_selector.h"
#include "cw_hop_by_hop_headers.h"
#include "cw_key_hash.h"
#include "cw_liveness_probe.h"
#include "cw_pipeline_order.h"
#include "cw_socket_timeout.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <vector>

/// One caller's connection: reads requests, forwards each to an upstream, and writes the answers.
///
/// Idempotent requests that the caller sends behind one another run at the same time; their answers
/// are written in the order of the requests (`cw_pipeline_order`). Coroutines of requests in
/// progress share the ownership of the session.
///
/// Requests and answers are buffered in full. A request can therefore be sent again where that is
/// safe, and an answer is forwarded only when it has arrived completely.
template <cw_gateway_dialect Dialect>
class cw_gateway_session : public std::enable_shared_from_this<cw_gateway_session<Dialect>> {
public:
    cw_gateway_session(cw_gateway_traffic& traffic, boost::asio::ip::tcp::socket caller)
        : traffic_{traffic},
          caller_{std::move(caller)},
          timeout_{traffic.context()},
          call_ended_{traffic.context()} {}

    /// Serves the connection until either side closes it.
    static boost::asio::awaitable<void> run(std::unique_ptr<cw_gateway_session> owned) {
        const std::shared_ptr<cw_gateway_session> session{std::move(owned)};
        // The result is stored in a variable because g++ 12 miscompiles a loop with an empty body
        // and a co_await in its condition.
        bool is_open = true;
        while (is_open) {
            is_open = co_await session->serve_next_request();
        }
        session->end_connection();
    }

private:
    using status = boost::beast::http::status;
    using milliseconds = std::chrono::milliseconds;

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
    /// Requests are read ahead while all requests take no more than the memory for them divided by
    /// this. The rest is left for requests that are read in their turn, which are rejected if there
    /// is no memory for them.
    static constexpr std::uint64_t read_ahead_memory_divisor = 2;
    /// Failed connects that do not count as attempts, for services without keys.
    static constexpr std::uint32_t max_uncounted_connect_failures = 2;
    /// Maximum attempts while each upstream answers that it does not own the key.
    static constexpr std::uint32_t max_not_owner_attempts = 3;

    static cw_time_point now() { return std::chrono::steady_clock::now(); }

    /// Serves the next request, and those behind it that may run at the same time, until all are
    /// answered. Returns false when the connection is to be closed.
    boost::asio::awaitable<bool> serve_next_request() {
        const auto config = traffic_.view()->config;
        const auto limits = config == nullptr ? cw_caller_limits{} : config->limits();
        cw_gateway_request_reader::parser_type parser;
        parser.header_limit(limits.max_header_bytes);
        parser.body_limit(limits.max_body_bytes);
        // Each caller pays for its own request only.
        auto first = std::make_shared<cw_gateway_call>(traffic_.request_budget());
        if (!co_await reader_.read(parser, limits, first->memory)) {
            co_return false;
        }
        first->exchange.request = parser.release();
        find_route(first->exchange);
        // Its memory is given back as soon as it is answered, so only `calls_` keeps it.
        start(std::move(first));
        caller_watch_ = std::make_shared<cw_caller_watch>(caller_, buffer_);
        caller_watch_->start([this] { read_ahead(); });
        if (buffer_.size() != 0) {
            // Later, so that the first request is sent first.
            boost::asio::post(traffic_.context(),
                              [self = this->shared_from_this()] { self->read_ahead(); });
        }
        co_await process(*calls_.front());
        const bool is_open = co_await answer_in_order();
        caller_watch_->stop();
        co_return is_open && !traffic_.view()->stopping;
    }

    /// Starts the requests that have arrived completely behind those in progress and may run at the
    /// same time. All others are read when those in progress are answered.
    void read_ahead() {
        const auto config = traffic_.view()->config;
        const auto limits = config == nullptr ? cw_caller_limits{} : config->limits();
        while (order_.may_read_ahead() && !traffic_.view()->stopping &&
               !caller_watch_->has_ended()) {
            auto parsed = cw_parse_buffered_request(buffer_, limits);
            if (parsed.arrived == cw_buffered_request::state::incomplete) {
                return;
            }
            if (parsed.arrived != cw_buffered_request::state::complete ||
                !start_beside(std::move(parsed))) {
                order_.hold_next();
            }
        }
    }

    /// Starts a request that was read ahead. Returns false if it has to wait until the requests
    /// before it are answered.
    bool start_beside(cw_buffered_request parsed) {
        auto& budget = traffic_.request_budget();
        if (budget.bytes() + parsed.bytes > budget.limit() / read_ahead_memory_divisor) {
            return false;
        }
        const auto next = std::make_shared<cw_gateway_call>(budget);
        next->exchange.request = std::move(parsed.request);
        find_route(next->exchange);
        if (!order_.may_start(mode_of(next->exchange))) {
            return false;
        }
        buffer_.consume(parsed.bytes);
        next->memory.resize(parsed.bytes);
        next->exchange.beside = order_.in_progress();
        traffic_.metrics().increment("pipelined_requests");
        start(next);
        boost::asio::co_spawn(traffic_.context(), run_beside(this->shared_from_this(), next),
                              boost::asio::detached);
        return true;
    }

    /// What may run at the same time as a request whose route is known. The bytes behind a request
    /// to change the protocol may belong to another protocol until it is answered.
    static cw_pipeline_order::mode mode_of(const cw_gateway_exchange& exchange) {
        const auto& request = exchange.request;
        const bool is_upgrade = request.find(boost::beast::http::field::upgrade) != request.end();
        if (exchange.route == nullptr || !exchange.route->repeatable || is_upgrade) {
            return cw_pipeline_order::mode::alone;
        }
        return request.keep_alive() ? cw_pipeline_order::mode::concurrent
                                    : cw_pipeline_order::mode::last;
    }

    void start(std::shared_ptr<cw_gateway_call> call) {
        call->memory.pin();
        ++traffic_.open_requests;
        call->keep_alive = call->exchange.request.keep_alive();
        call->exchange.started = now();
        call->exchange.metadata = Dialect::metadata_of(call->exchange.request);
        call->number = order_.start(mode_of(call->exchange));
        calls_.push_back(std::move(call));
    }

    static boost::asio::awaitable<void> run_beside(std::shared_ptr<cw_gateway_session> session,
                                                   std::shared_ptr<cw_gateway_call> call) {
        co_await session->process(*call);
        session->hold_answer(*call);
        session->call_ended_.notify_all();
    }

    /// Runs a request until it is known what the caller gets.
    boost::asio::awaitable<void> process(cw_gateway_call& call) {
        if (!caller_watch_->has_ended()) {
            co_await handle_request(call);
        }
        call.has_ended = true;
        order_.finish(call.number);
        if (call.result == cw_gateway_call::outcome::none) {
            record_cancelled(call);
        }
        if (has_ended_) {
            drop(call);
        }
    }

    /// Counts an answer that waits for its turn among those that may be evicted. Behind an evicted
    /// one no answer can be delivered, as the connection closes in its turn.
    void hold_answer(cw_gateway_call& call) {
        auto& exchange = call.exchange;
        if (exchange.answer_buffer == nullptr || has_ended_) {
            return;
        }
        exchange.answer_buffer->on_eviction([this, &exchange] {
            std::string{}.swap(exchange.answer.body());
            order_.close();
        });
        exchange.answer_buffer->resize(exchange.answer.body().capacity());
    }

    /// Writes the answers in the order of the requests until none is in progress. Returns false
    /// when the connection is to be closed.
    boost::asio::awaitable<bool> answer_in_order() {
        bool is_open = true;
        while (is_open && order_.in_progress() != 0) {
            if (!order_.next_answer()) {
                co_await call_ended_.wait(cw_time_point::max());
                continue;
            }
            const auto call = calls_.front();
            is_open = co_await answer_next(*call);
            calls_.erase(calls_.begin());
            order_.on_answered();
            --traffic_.open_requests;
            read_ahead();
            caller_watch_->resume();
        }
        co_return is_open;
    }

    /// Writes the answer of the oldest request. Returns false when the connection is to be closed.
    boost::asio::awaitable<bool> answer_next(cw_gateway_call& call) {
        if (call.result == cw_gateway_call::outcome::none) {
            co_return false;
        }
        if (call.exchange.beside != 0 && caller_watch_->has_ended()) {
            record_cancelled(call);
            co_return false;
        }
        const auto& answer_buffer = call.exchange.answer_buffer;
        if (answer_buffer != nullptr && answer_buffer->is_evicted()) {
            traffic_.metrics().increment("oversized_answers");
            call.exchange.reason = "its answer was dropped while it waited for its turn, as all "
                                   "answers together exceed the memory for them";
            record_cancelled(call);
            co_return false;
        }
        // A process that stops closes the connection with the last answer that is due.
        const bool may_keep_open = !traffic_.view()->stopping || order_.in_progress() > 1;
        const bool was_written = co_await writer_.write(call, may_keep_open);
        co_return was_written&& call.keep_alive;
    }

    /// Cancels the requests that are still in progress, and closes the connection.
    void end_connection() {
        has_ended_ = true;
        order_.close();
        if (caller_watch_ != nullptr) {
            caller_watch_->cancel_calls();
            caller_watch_->stop();
        }
        for (const auto& call : calls_) {
            if (call->has_ended) {
                drop(*call);
            }
        }
        calls_.clear();
        boost::system::error_code ignored;
        caller_.close(ignored);
    }

    /// Drops a request that has ended and gets no answer because the connection has ended, too.
    void drop(cw_gateway_call& call) {
        if (call.result != cw_gateway_call::outcome::none) {
            record_cancelled(call);
        }
        call.exchange.answer_buffer.reset();
        --traffic_.open_requests;
    }

    /// Logs a request whose caller has left, or whose connection closes before its turn.
    void record_cancelled(cw_gateway_call& call) {
        const bool has_left = caller_watch_->has_caller_left();
        if (!has_left && call.exchange.reason.empty()) {
            call.exchange.reason = "the connection closes before its answer";
        }
        traffic_.metrics().increment(has_left ? "abandoned_requests" : "cancelled_requests");
        traffic_.log().info(has_left ? "Caller left." : "Cancelled.",
                            cw_gateway_log_fields(call.exchange, cw_attempt_result::caller_left));
    }

    /// Sets the configuration in force, and the route that it has for the request.
    void find_route(cw_gateway_exchange& exchange) const {
        exchange.view = traffic_.view();
        exchange.config = exchange.view->config;
        if (exchange.config == nullptr) {
            return;
        }
        const auto target = exchange.request.target();
        const auto path = std::string_view{target.data(), target.size()};
        const auto host = exchange.request[boost::beast::http::field::host];
        exchange.route =
            exchange.config->find({host.data(), host.size()}, path.substr(0, path.find('?')));
    }

    /// Sets what the caller gets: the answer of an upstream, or why there is none.
    boost::asio::awaitable<void> handle_request(cw_gateway_call& call) {
        using outcome = cw_gateway_call::outcome;
        auto& exchange = call.exchange;
        call.result = outcome::refusal;
        if (exchange.config == nullptr) {
            exchange.reason = "no configuration is known yet";
            exchange.retry_after = unready_retry_after;
            co_return;
        }
        if (traffic_.is_config_overdue(cw_boot_clock::now())) {
            exchange.reason = "a later configuration has to be in force and is not yet";
            exchange.retry_after = unready_retry_after;
            co_return;
        }
        if (exchange.route == nullptr && traffic_.is_config_outdated(cw_boot_clock::now())) {
            exchange.reason = "the route may be in a configuration that is not known here yet";
            exchange.retry_after = unready_retry_after;
            co_return;
        }
        if (exchange.route == nullptr) {
            exchange.reason = "no route has this host name and path";
            call.result = outcome::error;
            call.error_status = status::not_found;
            co_return;
        }
        exchange.service = traffic_.choose_service(*exchange.route);
        prepare_request(exchange);
        if (is_too_late_before_stop(exchange)) {
            exchange.reason = "this host stops before the request has surely ended";
            exchange.retry_after = stopping_retry_after;
            co_return;
        }
        exchange.deadline = std::min(exchange.deadline, traffic_.answers_until());
        cw_attempt_result result{};
        {
            cw_call_watch watch{traffic_.context(), caller_watch_};
            result = co_await forward(exchange, watch);
        }
        set_outcome(call, result);
    }

    /// Sets what the caller gets after the last attempt.
    static void set_outcome(cw_gateway_call& call, cw_attempt_result result) {
        using outcome = cw_gateway_call::outcome;
        if (result == cw_attempt_result::caller_left) {
            call.result = outcome::none;
        } else if (result == cw_attempt_result::answered) {
            call.result = outcome::answer;
        } else if (!call.exchange.state.may_have_run) {
            call.result = outcome::refusal;
        } else {
            call.result = outcome::error;
            call.error_status = result == cw_attempt_result::timed_out ? status::gateway_timeout
                                                                       : status::bad_gateway;
        }
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
            traffic_.log().info("Tries again.", cw_gateway_log_fields(exchange, result));
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

    cw_gateway_traffic& traffic_;
    boost::asio::ip::tcp::socket caller_;
    cw_socket_timeout timeout_;
    boost::beast::flat_buffer buffer_{cw_max_read_buffer};
    cw_gateway_request_reader reader_{traffic_, caller_, buffer_, timeout_};
    cw_gateway_answer_writer<Dialect> writer_{traffic_, caller_, timeout_};
    /// Watches the caller while requests are in progress; null before the first.
    std::shared_ptr<cw_caller_watch> caller_watch_;
    cw_pipeline_order order_;
    /// Requests in progress, in the order of `order_`.
    std::vector<std::shared_ptr<cw_gateway_call>> calls_;
    /// Notified when a request that was read ahead has ended.
    cw_async_condition call_ended_;
    bool has_ended_ = false;
};
