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
constexpr auto max_finish_time = 60ms;
constexpr auto poll_interval = 1ms;
constexpr int cold_start_factor = 10;
constexpr std::size_t max_answer_bytes = 64'000'000;

cw_upstream_time clock_reading() {
    return cw_upstream_time{std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

std::uint64_t new_incarnation() {
    // A short number, since it is sent with each renewal. A collision would require drawing the
    // same number twice within the duration of a lease.
    return std::random_device{}();
}

std::uint64_t header_number(const cw_http_request& request, const char* name) {
    const auto text = request[name];
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

cw_http_response refusal(const char* reason) {
    auto response = cw_make_response(http::status::service_unavailable,
                                     std::string{"refused: "} + reason + "\n", "text/plain");
    response.set(cw_header_refused, reason);
    return response;
}

} // namespace

cw_upstream_standin::cw_upstream_standin(net::io_context& context,
                                         cw_upstream_standin_options options)
    : context_{context},
      options_{std::move(options)},
      server_{context, options_.listen,
              [this](cw_http_request request) { return handle_request(std::move(request)); }},
      holder_{new_incarnation(), options_.checks_fences},
      started_at_{clock_reading()} {}

void cw_upstream_standin::begin_drain() {
    draining_ = true;
    holder_.set_draining(true);
}

bool cw_upstream_standin::is_drained() const {
    return running_.empty() && holder_.slices().empty();
}

net::awaitable<cw_http_response> cw_upstream_standin::handle_request(cw_http_request request) {
    const auto path = cw_target_path({request.target().data(), request.target().size()});
    if (path == "/lease" && request.method() == http::verb::post) {
        co_return co_await handle_lease(request);
    }
    if (path == "/journal") {
        co_return cw_make_response(http::status::ok, journal_json());
    }
    if (path == "/drain" && request.method() == http::verb::post) {
        begin_drain();
        co_return cw_make_response(http::status::ok, "draining\n", "text/plain");
    }
    co_return co_await handle_work(std::move(request));
}

net::awaitable<cw_http_response> cw_upstream_standin::handle_lease(const cw_http_request& request) {
    const auto grant = cw_decode_grant(request.body());
    if (!grant) {
        co_return cw_make_response(http::status::bad_request, grant.error().text() + "\n",
                                   "text/plain");
    }
    const auto fence = holder_.fence();
    const auto reply = holder_.on_grant(*grant, clock_reading());
    if (holder_.fence() != fence) {
        // The reply confirms that no request of a released slice is running any more.
        co_await finish_or_abort_unowned();
    }
    auto response = cw_make_response(http::status::ok, cw_encode_reply(reply));
    // Renewals are by far the most frequent control messages, so header fields without information
    // are omitted.
    response.erase(http::field::content_type);
    co_return response;
}

net::awaitable<void> cw_upstream_standin::finish_or_abort_unowned() {
    const auto is_unowned = [this](const auto& entry) {
        return !entry.second->aborted && holder_.find_slice(entry.second->hash) == nullptr;
    };
    const auto deadline = std::chrono::steady_clock::now() + max_finish_time;
    while (options_.is_keyed && std::any_of(running_.begin(), running_.end(), is_unowned) &&
           std::chrono::steady_clock::now() < deadline) {
        co_await cw_pause(context_, poll_interval);
    }
    for (auto& entry : running_) {
        if (is_unowned(entry)) {
            entry.second->aborted = true;
        }
    }
}

bool cw_upstream_standin::can_execute(const cw_http_request& request, execution& entry) const {
    if (!options_.is_keyed) {
        return true;
    }
    entry.hash = header_number(request, cw_header_key_hash);
    entry.generation = header_number(request, cw_header_generation);
    const auto* slice = holder_.find_slice(entry.hash);
    return slice != nullptr && slice->generation == entry.generation &&
           holder_.is_leased(clock_reading());
}

std::chrono::milliseconds cw_upstream_standin::execution_time() const {
    const bool is_cold = clock_reading() < started_at_ + options_.cold_time;
    return options_.work_time * (is_cold ? cold_start_factor : 1);
}

cw_http_response cw_upstream_standin::make_answer(const cw_http_request& request,
                                                  const execution& entry) const {
    const std::string_view target{request.target().data(), request.target().size()};
    const auto size = std::min<std::size_t>(cw_query_number(target, "size", 0), max_answer_bytes);
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

net::awaitable<cw_http_response> cw_upstream_standin::handle_work(cw_http_request request) {
    const std::string target{request.target()};
    if (!options_.crash_substring.empty() &&
        target.find(options_.crash_substring) != std::string::npos) {
        std::abort();
    }
    execution entry;
    entry.request_id = std::string{request[cw_header_request_id]};
    entry.idempotency_key = std::string{request["Idempotency-Key"]};
    entry.key = target.substr(0, target.find('?'));
    if (!can_execute(request, entry)) {
        co_return refusal("not-owner");
    }
    if (draining_ && !options_.is_keyed) {
        co_return refusal("draining");
    }
    // Concurrent requests with the same idempotency key are executed once, and every caller gets
    // that answer.
    while (!entry.idempotency_key.empty() &&
           running_idempotency_keys_.contains(entry.idempotency_key)) {
        co_await cw_pause(context_, poll_interval);
    }
    if (const auto earlier = answers_by_idempotency_key_.find(entry.idempotency_key);
        !entry.idempotency_key.empty() && earlier != answers_by_idempotency_key_.end()) {
        co_return cw_make_response(http::status::ok, earlier->second);
    }
    if (running_.size() >= options_.slots) {
        co_return refusal("busy");
    }
    if (!entry.idempotency_key.empty()) {
        running_idempotency_keys_.insert(entry.idempotency_key);
    }
    entry.start = clock_reading();
    const auto deadline =
        entry.start + std::chrono::milliseconds{header_number(request, cw_header_deadline_ms)};
    const auto execution_id = ++last_execution_id_;
    running_[execution_id] = &entry;
    co_await cw_pause(context_, execution_time());
    running_.erase(execution_id);
    running_idempotency_keys_.erase(entry.idempotency_key);
    entry.end = clock_reading();
    const bool in_time = request[cw_header_deadline_ms].empty() || entry.end < deadline;
    entry.committed =
        !entry.aborted && in_time && (!options_.is_keyed || holder_.is_leased(entry.end));
    auto response = entry.committed ? make_answer(request, entry) : refusal("not-owner");
    if (entry.committed && !entry.idempotency_key.empty()) {
        answers_by_idempotency_key_[entry.idempotency_key] = response.body();
    }
    journal_.push_back(std::move(entry));
    co_return response;
}

std::string cw_upstream_standin::journal_json() const {
    auto list = nlohmann::json::array();
    for (const auto& entry : journal_) {
        list.push_back({entry.request_id, entry.key, entry.start.time_since_epoch().count(),
                        entry.end.time_since_epoch().count(), entry.committed, entry.generation,
                        options_.is_keyed});
    }
    return list.dump();
}
