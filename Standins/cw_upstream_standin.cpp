#include "cw_upstream_standin.h"

#include "cw_async.h"
#include "cw_header_names.h"
#include "cw_lease_codec.h"
#include "cw_query.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {

using namespace std::chrono_literals;
constexpr auto longest_finish = 60ms;
constexpr auto finish_poll = 1ms;
constexpr int cold_factor = 10;
constexpr std::size_t largest_answer = 64'000'000;

cw_upstream_time clock_reading() {
    return cw_upstream_time{std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

std::uint64_t new_incarnation() {
    // Short, since it travels with each renewal; a repetition would need the same draw twice within
    // a lease.
    return std::random_device{}();
}

std::uint64_t number_of(const cw_http_request& request, const char* name) {
    const auto text = request[name];
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

cw_http_response refusal(const char* word) {
    auto response = cw_make_response(http::status::service_unavailable,
                                     std::string{"refused: "} + word + "\n", "text/plain");
    response.set(cw_header_refused, word);
    return response;
}

} // namespace

cw_upstream_standin::cw_upstream_standin(net::io_context& context, cw_upstream_options options)
    : context_{context},
      options_{std::move(options)},
      server_{context, options_.listen,
              [this](cw_http_request request) { return serve(std::move(request)); }},
      holder_{new_incarnation(), options_.checks_fences},
      started_{clock_reading()} {}

void cw_upstream_standin::begin_drain() {
    draining_ = true;
    holder_.set_draining(true);
}

bool cw_upstream_standin::is_drained() const {
    return running_.empty() && holder_.slices().empty();
}

net::awaitable<cw_http_response> cw_upstream_standin::serve(cw_http_request request) {
    const auto path = cw_target_path({request.target().data(), request.target().size()});
    if (path == "/lease" && request.method() == http::verb::post) {
        co_return co_await serve_lease(request);
    }
    if (path == "/journal") {
        co_return cw_make_response(http::status::ok, journal());
    }
    if (path == "/drain" && request.method() == http::verb::post) {
        begin_drain();
        co_return cw_make_response(http::status::ok, "draining\n", "text/plain");
    }
    co_return co_await serve_work(std::move(request));
}

net::awaitable<cw_http_response> cw_upstream_standin::serve_lease(const cw_http_request& request) {
    const auto grant = cw_decode_grant(request.body());
    if (!grant) {
        co_return cw_make_response(http::status::bad_request, grant.error().text() + "\n",
                                   "text/plain");
    }
    const auto fence = holder_.fence();
    const auto reply = holder_.on_grant(*grant, clock_reading());
    if (holder_.fence() != fence) {
        // The confirmation says that nothing runs any more under slices that were given up.
        co_await finish_foreign_runs();
    }
    auto response = cw_make_response(http::status::ok, cw_encode_reply(reply));
    // Renewals are by far the most frequent control messages, so they carry no field that says
    // nothing.
    response.erase(http::field::content_type);
    co_return response;
}

net::awaitable<void> cw_upstream_standin::finish_foreign_runs() {
    const auto is_foreign = [this](const auto& entry) {
        return !entry.second->aborted && holder_.find(entry.second->hash) == nullptr;
    };
    const auto until = std::chrono::steady_clock::now() + longest_finish;
    while (options_.keyed && std::any_of(running_.begin(), running_.end(), is_foreign) &&
           std::chrono::steady_clock::now() < until) {
        co_await cw_pause(context_, finish_poll);
    }
    for (auto& entry : running_) {
        if (is_foreign(entry)) {
            entry.second->aborted = true;
        }
    }
}

bool cw_upstream_standin::may_run(const cw_http_request& request, run& entry) const {
    if (!options_.keyed) {
        return true;
    }
    entry.hash = number_of(request, cw_header_key_hash);
    entry.generation = number_of(request, cw_header_generation);
    const auto* slice = holder_.find(entry.hash);
    return slice != nullptr && slice->generation == entry.generation &&
           holder_.is_leased(clock_reading());
}

std::chrono::milliseconds cw_upstream_standin::work_time() const {
    const bool cold = clock_reading() < started_ + options_.cold;
    return options_.work * (cold ? cold_factor : 1);
}

cw_http_response cw_upstream_standin::answer(const cw_http_request& request,
                                             const run& entry) const {
    const std::string_view target{request.target().data(), request.target().size()};
    const auto size = std::min<std::size_t>(cw_query_number(target, "size", 0), largest_answer);
    nlohmann::json body{{"upstream", options_.id},
                        {"key", entry.key},
                        {"request_id", entry.request_id},
                        {"received", request.body().size()}};
    auto text = body.dump();
    if (size > text.size()) {
        text.resize(size, '.');
    }
    return cw_make_response(http::status::ok, std::move(text));
}

net::awaitable<cw_http_response> cw_upstream_standin::serve_work(cw_http_request request) {
    const std::string target{request.target()};
    if (!options_.crash_word.empty() && target.find(options_.crash_word) != std::string::npos) {
        std::abort();
    }
    run entry;
    entry.request_id = std::string{request[cw_header_request_id]};
    entry.idempotency_key = std::string{request["Idempotency-Key"]};
    entry.key = target.substr(0, target.find('?'));
    if (!may_run(request, entry)) {
        co_return refusal("not-owner");
    }
    if (draining_ && !options_.keyed) {
        co_return refusal("draining");
    }
    // The same order sent twice at once runs once, and both callers get its answer.
    while (!entry.idempotency_key.empty() && running_keys_.contains(entry.idempotency_key)) {
        co_await cw_pause(context_, finish_poll);
    }
    if (const auto known = answered_keys_.find(entry.idempotency_key);
        !entry.idempotency_key.empty() && known != answered_keys_.end()) {
        co_return cw_make_response(http::status::ok, known->second);
    }
    if (running_.size() >= options_.slots) {
        co_return refusal("busy");
    }
    if (!entry.idempotency_key.empty()) {
        running_keys_.insert(entry.idempotency_key);
    }
    entry.start = clock_reading();
    const auto deadline =
        entry.start + std::chrono::milliseconds{number_of(request, cw_header_deadline_ms)};
    const auto number = ++next_run_;
    running_[number] = &entry;
    co_await cw_pause(context_, work_time());
    running_.erase(number);
    running_keys_.erase(entry.idempotency_key);
    entry.end = clock_reading();
    const bool in_time = request[cw_header_deadline_ms].empty() || entry.end < deadline;
    entry.committed =
        !entry.aborted && in_time && (!options_.keyed || holder_.is_leased(entry.end));
    auto response = entry.committed ? answer(request, entry) : refusal("not-owner");
    if (entry.committed && !entry.idempotency_key.empty()) {
        answered_keys_[entry.idempotency_key] = response.body();
    }
    journal_.push_back(std::move(entry));
    co_return response;
}

std::string cw_upstream_standin::journal() const {
    auto list = nlohmann::json::array();
    for (const auto& entry : journal_) {
        list.push_back({entry.request_id, entry.key, entry.start.time_since_epoch().count(),
                        entry.end.time_since_epoch().count(), entry.committed, entry.generation});
    }
    return list.dump();
}
