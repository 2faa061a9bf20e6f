#include "cw_store_standin.h"

#include "cw_async.h"
#include "cw_query.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {
using namespace std::chrono_literals;
constexpr std::size_t max_value_bytes = 1'000'000;
constexpr auto max_wait = 30s;
constexpr std::string_view store_prefix = "/store/";
/// Simulates a lost reply: the reply is delayed until the caller has timed out.
constexpr auto lost_reply_delay = 3s;

cw_http_response text_response(http::status status, const std::string& text) {
    return cw_make_response(status, text + "\n", "text/plain");
}
} // namespace

cw_store_standin::cw_store_standin(net::io_context& context, const cw_address& address)
    : context_{context},
      server_{context, address,
              [this](cw_http_request request) { return handle_request(std::move(request)); }},
      changed_{context} {}

bool cw_store_standin::admit(call_counter& counter, std::uint64_t limit) {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            std::chrono::steady_clock::now().time_since_epoch())
                            .count();
    if (second != counter.second) {
        counter.second = second;
        counter.calls = 0;
    }
    ++counter.total;
    counter.max_per_second = std::max(counter.max_per_second, ++counter.calls);
    return counter.calls <= limit;
}

net::awaitable<cw_http_response> cw_store_standin::handle_request(cw_http_request request) {
    const std::string_view target{request.target().data(), request.target().size()};
    if (target == "/control") {
        co_return handle_control(request);
    }
    if (target == "/stats") {
        co_return statistics();
    }
    if (!is_available_) {
        co_await cw_pause(context_, 200ms);
        co_return text_response(http::status::service_unavailable, "outage");
    }
    if (target.starts_with("/hosts")) {
        co_return handle_hosts(request);
    }
    if (target.starts_with(store_prefix)) {
        co_return co_await handle_store(request);
    }
    co_return text_response(http::status::not_found, "no such page");
}

net::awaitable<cw_http_response> cw_store_standin::handle_store(const cw_http_request& request) {
    if (response_delay_ > 0ms) {
        co_await cw_pause(context_, response_delay_);
    }
    const std::string target{request.target()};
    const std::string key{cw_target_path(target).substr(store_prefix.size())};
    if (request.method() == http::verb::get) {
        co_return co_await read_value(key, target);
    }
    if (request.method() == http::verb::put) {
        co_return co_await write_value(key, request);
    }
    co_return text_response(http::status::method_not_allowed, "GET or PUT");
}

net::awaitable<cw_http_response> cw_store_standin::read_value(std::string key, std::string target) {
    if (!admit(reads_, max_reads_per_second_)) {
        co_return text_response(http::status::too_many_requests, "reads per second");
    }
    const auto known_version = cw_query_number(target, "after", 0);
    const std::chrono::milliseconds requested_wait{cw_query_number(target, "wait_ms", 0)};
    const auto deadline = std::chrono::steady_clock::now() +
                          std::min<std::chrono::milliseconds>(requested_wait, max_wait);
    max_waiting_watches_ = std::max(max_waiting_watches_, ++waiting_watches_);
    while (values_[key].version <= known_version && std::chrono::steady_clock::now() < deadline &&
           is_available_) {
        co_await changed_.wait(deadline);
    }
    --waiting_watches_;
    if (!is_available_) {
        co_return text_response(http::status::service_unavailable, "outage");
    }
    const auto& stored = values_[key];
    if (stored.version == 0) {
        co_return text_response(http::status::not_found, "no value");
    }
    auto response = cw_make_response(http::status::ok, stored.text);
    response.set("X-Version", std::to_string(stored.version));
    co_return response;
}

net::awaitable<cw_http_response> cw_store_standin::write_value(std::string key,
                                                               cw_http_request request) {
    if (!admit(writes_, max_writes_per_second_)) {
        co_return text_response(http::status::too_many_requests, "writes per second");
    }
    if (request.body().size() > max_value_bytes) {
        co_return text_response(http::status::payload_too_large,
                                "values hold at most 1000000 bytes");
    }
    std::uint64_t expected = 0;
    const auto text = request["If-Version"];
    std::from_chars(text.data(), text.data() + text.size(), expected);
    auto& stored = values_[key];
    if (stored.version != expected) {
        co_return text_response(http::status::precondition_failed, "version is another");
    }
    stored = {stored.version + 1, std::move(request.body())};
    changed_.notify_all();
    if (std::uniform_real_distribution<double>{0.0, 1.0}(random_engine_) < lost_reply_share_) {
        co_await cw_pause(context_, lost_reply_delay);
    }
    auto response = text_response(http::status::ok, "written");
    response.set("X-Version", std::to_string(stored.version));
    co_return response;
}

cw_http_response cw_store_standin::handle_hosts(const cw_http_request& request) {
    if (request.method() == http::verb::get) {
        const auto etag = "\"" + std::to_string(hosts_version_) + "\"";
        if (request[http::field::if_none_match] == etag) {
            return cw_make_response(http::status::not_modified, "");
        }
        auto response = cw_make_response(http::status::ok, hosts_.dump());
        response.set(http::field::etag, etag);
        return response;
    }
    ++hosts_version_;
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (request.method() == http::verb::put && body.is_array()) {
        hosts_ = body;
        return text_response(http::status::ok, "replaced");
    }
    if (request.method() == http::verb::post && body.is_object() && body.contains("id")) {
        auto remaining = nlohmann::json::array();
        for (const auto& host : hosts_) {
            if (host.at("id") != body.at("id")) {
                remaining.push_back(host);
            }
        }
        if (body.value("state", "live") != "gone") {
            remaining.push_back(body);
        }
        hosts_ = std::move(remaining);
        return text_response(http::status::ok, "changed");
    }
    return text_response(http::status::bad_request, "PUT a list or POST one host");
}

cw_http_response cw_store_standin::handle_control(const cw_http_request& request) {
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object()) {
        return text_response(http::status::bad_request,
                             "POST {\"up\", \"delay_ms\", \"lost_reply_share\"}");
    }
    is_available_ = body.value("up", is_available_);
    response_delay_ = std::chrono::milliseconds{body.value("delay_ms", response_delay_.count())};
    lost_reply_share_ = body.value("lost_reply_share", lost_reply_share_);
    changed_.notify_all();
    return text_response(http::status::ok, "set");
}

cw_http_response cw_store_standin::statistics() const {
    return cw_make_response(http::status::ok,
                            nlohmann::json{{"reads", reads_.total},
                                           {"writes", writes_.total},
                                           {"most_reads_per_second", reads_.max_per_second},
                                           {"most_writes_per_second", writes_.max_per_second},
                                           {"waiting_watches", waiting_watches_},
                                           {"most_waiting_watches", max_waiting_watches_}}
                                .dump());
}
