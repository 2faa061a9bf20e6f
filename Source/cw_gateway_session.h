#pragma once

#include "cw_death_probe.h"
#include "cw_gateway_attempt.h"
#include "cw_gateway_options.h"
#include "cw_hop_headers.h"
#include "cw_key_hash.h"
#include "cw_reject.h"
#include "cw_request_check.h"
#include "cw_socket_alarm.h"
#include "cw_upstream_selection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <memory>

/// One caller's connection: reads requests, has each run by the right upstream, and answers.
///
/// Requests and answers are held whole, so that a request can be sent again where that is safe, and
/// an answer is passed on only when all of it has arrived.
template <cw_gateway_dialect Dialect>
class cw_gateway_session {
public:
    cw_gateway_session(cw_gateway_traffic& traffic, boost::asio::ip::tcp::socket caller)
        : traffic_{traffic},
          caller_{std::move(caller)},
          alarm_{traffic.context()} {}

    /// Serves the connection until either side ends it.
    static boost::asio::awaitable<void> run(std::unique_ptr<cw_gateway_session> session) {
        // The result is kept in a variable: g++ 12 miscompiles a loop whose condition awaits and
        // whose body is empty.
        bool open = true;
        while (open) {
            open = co_await session->serve_one();
        }
    }

private:
    using status = boost::beast::http::status;
    using parser_type = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using milliseconds = std::chrono::milliseconds;

    /// Longest time in which a caller takes an answer, or sends a body.
    static constexpr std::chrono::seconds transfer_limit{20};
    /// How much sooner than the caller gives up its answer leaves.
    static constexpr milliseconds answer_margin{20};
    /// Least time left in which another attempt makes sense.
    static constexpr milliseconds least_time_left{20};
    static constexpr milliseconds return_when_unready{500};
    /// Time for the answer to a rejected request, and for the rest of that request.
    static constexpr milliseconds linger_time{500};
    /// Upstreams without keys that may be out of reach beside the attempts that count.
    static constexpr std::uint32_t most_unreached = 2;
    /// Attempts of which none has run.
    static constexpr std::uint32_t most_refusals = 3;

    static cw_time_point now() { return std::chrono::steady_clock::now(); }

    boost::asio::awaitable<bool> serve_one() {
        const auto config = traffic_.view()->config;
        const auto limits = config == nullptr ? cw_caller_limits{} : config->limits();
        parser_type parser;
        parser.header_limit(limits.header_bytes);
        parser.body_limit(limits.body_bytes);
        if (!co_await read_request(parser, limits)) {
            co_return false;
        }
        ++traffic_.open_requests;
        const bool keep_alive = parser.get().keep_alive();
        cw_gateway_exchange current;
        current.started = now();
        current.request = parser.release();
        current.facts = Dialect::facts_of(current.request);
        const bool whole = co_await serve(current);
        --traffic_.open_requests;
        co_return whole&& keep_alive && !traffic_.view()->stopping;
    }

    boost::asio::awaitable<bool> wait_for_request(const cw_caller_limits& limits) {
        if (buffer_.size() != 0) {
            co_return true;
        }
        const auto place = traffic_.idle.insert(traffic_.idle.end(), &caller_);
        alarm_.set(caller_, now() + limits.idle_time);
        boost::system::error_code failure;
        co_await caller_.async_wait(boost::asio::ip::tcp::socket::wait_read, cw_into(failure));
        traffic_.idle.erase(place);
        const bool late = alarm_.has_gone_off();
        alarm_.clear();
        // A stop ends the wait; a request that has arrived by then is served all the same.
        co_return !late && (!failure || caller_.available(failure) != 0);
    }

    boost::asio::awaitable<bool> read_request(parser_type& parser, const cw_caller_limits& limits) {
        namespace http = boost::beast::http;
        if (!co_await wait_for_request(limits)) {
            co_return false;
        }
        boost::system::error_code failure;
        alarm_.set(caller_, now() + limits.header_time);
        co_await http::async_read_header(caller_, buffer_, parser, cw_into(failure));
        if (!failure) {
            if (const auto mistake = cw_check_request(parser.get(), parser.chunked())) {
                alarm_.clear();
                co_await reject(*mistake);
                co_return false;
            }
            if (parser.get()[http::field::expect] == "100-continue") {
                http::response<http::empty_body> go_on{status::continue_, 11};
                co_await http::async_write(caller_, go_on, cw_into(failure));
            }
            alarm_.set(caller_, now() + transfer_limit);
            co_await http::async_read(caller_, buffer_, parser, cw_into(failure));
        }
        const bool late = alarm_.has_gone_off();
        alarm_.clear();
        if (!failure) {
            co_return true;
        }
        if (late) {
            co_await reject({status::request_timeout, "the request takes too long to arrive"});
        } else if (const auto mistake = cw_parse_mistake(failure)) {
            co_await reject(*mistake);
        }
        co_return false;
    }

    /// Answers a request that cannot be read and ends the connection.
    boost::asio::awaitable<void> reject(cw_request_mistake mistake) {
        traffic_.metrics().count("rejected_requests");
        traffic_.log().info("Rejected.",
                            {{"status", std::to_string(static_cast<int>(mistake.status))},
                             {"reason", mistake.reason}});
        alarm_.set(caller_, now() + linger_time);
        co_await cw_reject(caller_, mistake);
        alarm_.clear();
    }

    boost::asio::awaitable<bool> serve(cw_gateway_exchange& current) {
        current.view = traffic_.view();
        current.config = current.view->config;
        if (current.config == nullptr) {
            current.reason = "no configuration is known yet";
            current.come_back = return_when_unready;
            co_return co_await refuse(current);
        }
        const auto target = current.request.target();
        const auto path = std::string_view{target.data(), target.size()};
        const auto host = current.request[boost::beast::http::field::host];
        current.route =
            current.config->find({host.data(), host.size()}, path.substr(0, path.find('?')));
        if (current.route == nullptr) {
            current.reason = "no route has this host name and path";
            co_return co_await answer_own(current, status::not_found);
        }
        current.service = traffic_.draw_part(*current.route);
        prepare(current);
        cw_attempt_result result{};
        {
            cw_call_watch watch{traffic_.context(), caller_, buffer_};
            result = co_await forward(current, watch);
        }
        co_return co_await finish(current, result);
    }

    void prepare(cw_gateway_exchange& current) {
        auto limit = current.route->timeout;
        if (current.facts.limit) {
            limit = std::min(limit, *current.facts.limit - answer_margin);
        }
        current.deadline = current.started + std::max(limit, milliseconds{1});
        current.state.idempotent = current.route->repeatable;
        current.state.most_attempts = current.route->most_attempts;
        current.state.most_owner_attempts = most_refusals;
        current.state.attempts = 0;
        auto& request = current.request;
        cw_remove_hop_headers(request);
        request.erase(boost::beast::http::field::expect);
        request.version(11);
        request.keep_alive(true);
        if (request.chunked()) {
            request.chunked(false);
        }
        if (!request.body().empty() || request.has_content_length()) {
            request.content_length(request.body().size());
        }
        traffic_.budget(current.service).on_request();
    }

    /// Sends the request until it is answered or given up.
    boost::asio::awaitable<cw_attempt_result> forward(cw_gateway_exchange& current,
                                                      cw_call_watch& watch) {
        cw_upstream_selection selection{traffic_, watch};
        cw_gateway_attempt<Dialect> attempt{traffic_, watch};
        while (true) {
            if (is_refused_for_crashes(current)) {
                co_return cw_attempt_result::refused_busy;
            }
            if (!co_await selection.choose(current)) {
                co_return watch.has_caller_left() ? cw_attempt_result::caller_left
                                                  : cw_attempt_result::refused_busy;
            }
            auto& budget = traffic_.budget(current.service);
            if (current.sent > 0) {
                budget.take();
                traffic_.metrics().count("retries");
            }
            const auto result = co_await attempt.run(current);
            note_crash(current, result);
            // An upstream that cannot be reached leaves the request to the others.
            const bool unreached = result == cw_attempt_result::not_connected;
            if (!unreached || current.fence != 0 || ++current.unreached > most_unreached) {
                ++current.state.attempts;
            }
            current.state.may_have_run =
                current.state.may_have_run || !cw_surely_did_not_run(result);
            current.state.budget_left = traffic_.budget(current.service).has_token();
            current.state.time_left = now() + least_time_left < current.deadline;
            if (result == cw_attempt_result::caller_left || !may_go_on(current, result)) {
                co_return result;
            }
            current.tried.push_back(current.upstream.id);
            if (result == cw_attempt_result::refused_not_owner) {
                current.refused_fence = current.fence;
            }
            traffic_.log().info("Tries again.", fields(current, result));
        }
    }

    static std::uint64_t fingerprint_of(const cw_gateway_exchange& current) {
        const auto method = current.request.method_string();
        const auto target = current.request.target();
        return cw_request_fingerprint({method.data(), method.size()},
                                      {target.data(), target.size()}, current.request.body());
    }

    bool is_refused_for_crashes(cw_gateway_exchange& current) {
        auto& crashes = traffic_.crashes();
        if (!crashes.has_marks()) {
            return false;
        }
        const auto fingerprint = fingerprint_of(current);
        const auto service = current.config->services().find(current.service);
        const bool is_keyed = service != current.config->services().end() && service->second.keyed;
        const auto until = is_keyed ? crashes.keyed_refused_until(fingerprint)
                                    : crashes.refused_until(fingerprint);
        if (now() >= until) {
            return false;
        }
        current.reason = "this request crashed each upstream that ran it";
        current.come_back = std::chrono::ceil<milliseconds>(until - now());
        return true;
    }

    /// Marks a request beside which its upstream died, and clears it once it was answered.
    void note_crash(const cw_gateway_exchange& current, cw_attempt_result result) {
        auto& crashes = traffic_.crashes();
        if (result == cw_attempt_result::answered && crashes.has_marks()) {
            crashes.on_answer(fingerprint_of(current));
        }
        if (result == cw_attempt_result::connection_lost) {
            boost::asio::co_spawn(
                traffic_.context(),
                mark_if_dead(traffic_, fingerprint_of(current), current.upstream.address),
                boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void>
    mark_if_dead(cw_gateway_traffic& traffic, std::uint64_t fingerprint, std::string address) {
        // The result is kept in a variable, since g++ 12 miscompiles a coroutine that consists of
        // one condition that awaits.
        const bool is_dead = co_await cw_is_dead(traffic.context(), address);
        if (is_dead) {
            traffic.crashes().on_crash(fingerprint, address, now());
        }
    }

    static bool may_go_on(const cw_gateway_exchange& current, cw_attempt_result result) {
        // Nobody but the owner can serve a key, and its queue is no shorter a moment later.
        if (current.fence != 0 && result == cw_attempt_result::refused_busy) {
            return false;
        }
        // Each request that was sent counts against the budget, also one that was not run.
        return cw_decide_next(result, current.state) == cw_next_step::retry_elsewhere &&
               (current.sent == 0 || current.state.budget_left);
    }

    boost::asio::awaitable<bool> finish(cw_gateway_exchange& current, cw_attempt_result result) {
        if (result == cw_attempt_result::caller_left) {
            traffic_.metrics().count("abandoned_requests");
            traffic_.log().info("Caller left.", fields(current, result));
            co_return false;
        }
        if (result == cw_attempt_result::answered) {
            co_return co_await pass_on(current);
        }
        if (!current.state.may_have_run) {
            co_return co_await refuse(current);
        }
        co_return co_await answer_own(current, result == cw_attempt_result::timed_out
                                                   ? status::gateway_timeout
                                                   : status::bad_gateway);
    }

    boost::asio::awaitable<bool> pass_on(cw_gateway_exchange& current) {
        auto& answer = current.answer;
        cw_remove_hop_headers(answer);
        if (current.request.method() != boost::beast::http::verb::head) {
            answer.chunked(false);
            answer.content_length(answer.body().size());
        }
        traffic_.metrics().count("answered_requests");
        traffic_.log().info("Answered.", fields(current, cw_attempt_result::answered));
        co_return co_await write(current);
    }

    boost::asio::awaitable<bool> refuse(cw_gateway_exchange& current) {
        // Callers that were refused together should not come back together.
        const auto spread = current.come_back.count() / 2 + 1;
        const auto after =
            current.come_back + milliseconds{static_cast<std::int64_t>(
                                    traffic_.draw() % static_cast<std::uint64_t>(spread))};
        current.answer =
            cw_make_response(status::service_unavailable, current.reason + "\n", "text/plain");
        Dialect::set_return(current.answer, after);
        traffic_.metrics().count("refused_requests");
        auto list = fields(current, cw_attempt_result::refused_busy);
        list.emplace_back("return_ms", std::to_string(after.count()));
        traffic_.log().info("Refused.", list);
        Dialect::set_id(current.answer, current.facts.id);
        co_return co_await write(current);
    }

    boost::asio::awaitable<bool> answer_own(cw_gateway_exchange& current, status code) {
        current.answer = cw_make_response(code, current.reason + "\n", "text/plain");
        traffic_.metrics().count("failed_requests");
        auto list = fields(current, cw_attempt_result::malformed);
        list.emplace_back("status", std::to_string(static_cast<int>(code)));
        traffic_.log().info("Failed.", list);
        Dialect::set_id(current.answer, current.facts.id);
        co_return co_await write(current);
    }

    boost::asio::awaitable<bool> write(cw_gateway_exchange& current) {
        namespace http = boost::beast::http;
        auto& answer = current.answer;
        answer.version(11);
        answer.keep_alive(current.request.keep_alive() && !traffic_.view()->stopping);
        if (current.route != nullptr) {
            traffic_.metrics().on_latency(current.route->name, now() - current.started);
        }
        boost::system::error_code failure;
        alarm_.set(caller_, now() + transfer_limit);
        if (current.request.method() == http::verb::head) {
            http::response_serializer<http::string_body> serializer{answer};
            co_await http::async_write_header(caller_, serializer, cw_into(failure));
        } else {
            co_await http::async_write(caller_, answer, cw_into(failure));
        }
        alarm_.clear();
        co_return !failure;
    }

    /// What a decision on a request rested on, for the log.
    std::vector<cw_log_field> fields(const cw_gateway_exchange& current,
                                     cw_attempt_result result) const {
        const auto spent =
            std::chrono::duration_cast<milliseconds>(now() - current.started).count();
        std::vector<cw_log_field> list{
            {"id", current.facts.id},
            {"route", current.route == nullptr ? "" : current.route->name},
            {"config", std::to_string(current.config == nullptr ? 0 : current.config->version())},
            {"upstream", current.upstream.id},
            {"sent", std::to_string(current.sent)},
            {"ms", std::to_string(spent)}};
        if (current.facts.key) {
            list.emplace_back("key", std::to_string(*current.facts.key));
            list.emplace_back("fence", std::to_string(current.fence));
        }
        if (result != cw_attempt_result::answered) {
            list.emplace_back("reason", current.reason);
        }
        return list;
    }

    cw_gateway_traffic& traffic_;
    boost::asio::ip::tcp::socket caller_;
    cw_socket_alarm alarm_;
    boost::beast::flat_buffer buffer_{cw_max_read_buffer};
};
