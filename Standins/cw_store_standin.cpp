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
constexpr std::size_t largest_value = 1'000'000;
constexpr auto longest_wait = 30s;
constexpr std::string_view store_prefix = "/store/";
/// A lost reply is played by answering nothing until the caller has given up.
constexpr auto lost_reply_silence = 3s;

cw_http_response plain(http::status status, const std::string& text) {
    return cw_make_response(status, text + "\n", "text/plain");
}
} // namespace

cw_store_standin::cw_store_standin(net::io_context& context, const cw_address& address)
    : context_{context},
      server_{context, address,
              [this](cw_http_request request) { return serve(std::move(request)); }},
      changed_{context} {}

bool cw_store_standin::admit(rate& counter, std::uint64_t limit) {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            std::chrono::steady_clock::now().time_since_epoch())
                            .count();
    if (second != counter.second) {
        counter.second = second;
        counter.calls = 0;
    }
    ++counter.total;
    counter.most_in_a_second = std::max(counter.most_in_a_second, ++counter.calls);
    return counter.calls <= limit;
}

net::awaitable<cw_http_response> cw_store_standin::serve(cw_http_request request) {
    const std::string_view target{request.target().data(), request.target().size()};
    if (target == "/control") {
        co_return serve_control(request);
    }
    if (target == "/stats") {
        co_return stats();
    }
    if (!up_) {
        co_await cw_pause(context_, 200ms);
        co_return plain(http::status::service_unavailable, "outage");
    }
    if (target.starts_with("/hosts")) {
        co_return serve_hosts(request);
    }
    if (target.starts_with(store_prefix)) {
        co_return co_await serve_store(request);
    }
    co_return plain(http::status::not_found, "no such page");
}

net::awaitable<cw_http_response> cw_store_standin::serve_store(const cw_http_request& request) {
    if (delay_ > 0ms) {
        co_await cw_pause(context_, delay_);
    }
    const std::string target{request.target()};
    const std::string key{cw_target_path(target).substr(store_prefix.size())};
    if (request.method() == http::verb::get) {
        co_return co_await read(key, target);
    }
    if (request.method() == http::verb::put) {
        co_return co_await write(key, request);
    }
    co_return plain(http::status::method_not_allowed, "GET or PUT");
}

net::awaitable<cw_http_response> cw_store_standin::read(std::string key, std::string target) {
    if (!admit(reads_, reads_per_second_)) {
        co_return plain(http::status::too_many_requests, "reads per second");
    }
    const auto after = cw_query_number(target, "after", 0);
    const std::chrono::milliseconds asked{cw_query_number(target, "wait_ms", 0)};
    const auto until =
        std::chrono::steady_clock::now() + std::min<std::chrono::milliseconds>(asked, longest_wait);
    most_waiting_ = std::max(most_waiting_, ++waiting_);
    while (values_[key].version <= after && std::chrono::steady_clock::now() < until && up_) {
        co_await changed_.wait(until);
    }
    --waiting_;
    if (!up_) {
        co_return plain(http::status::service_unavailable, "outage");
    }
    const auto& held = values_[key];
    if (held.version == 0) {
        co_return plain(http::status::not_found, "no value");
    }
    auto response = cw_make_response(http::status::ok, held.text);
    response.set("X-Version", std::to_string(held.version));
    co_return response;
}

net::awaitable<cw_http_response> cw_store_standin::write(std::string key, cw_http_request request) {
    if (!admit(writes_, writes_per_second_)) {
        co_return plain(http::status::too_many_requests, "writes per second");
    }
    if (request.body().size() > largest_value) {
        co_return plain(http::status::payload_too_large, "values hold at most 1000000 bytes");
    }
    std::uint64_t expected = 0;
    const auto text = request["If-Version"];
    std::from_chars(text.data(), text.data() + text.size(), expected);
    auto& held = values_[key];
    if (held.version != expected) {
        co_return plain(http::status::precondition_failed, "version is another");
    }
    held = {held.version + 1, std::move(request.body())};
    changed_.notify_all();
    if (std::uniform_real_distribution<double>{0.0, 1.0}(engine_) < lost_reply_share_) {
        co_await cw_pause(context_, lost_reply_silence);
    }
    auto response = plain(http::status::ok, "written");
    response.set("X-Version", std::to_string(held.version));
    co_return response;
}

cw_http_response cw_store_standin::serve_hosts(const cw_http_request& request) {
    if (request.method() == http::verb::get) {
        const auto tag = "\"" + std::to_string(hosts_version_) + "\"";
        if (request[http::field::if_none_match] == tag) {
            return cw_make_response(http::status::not_modified, "");
        }
        auto response = cw_make_response(http::status::ok, hosts_.dump());
        response.set(http::field::etag, tag);
        return response;
    }
    ++hosts_version_;
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (request.method() == http::verb::put && body.is_array()) {
        hosts_ = body;
        return plain(http::status::ok, "replaced");
    }
    if (request.method() == http::verb::post && body.is_object() && body.contains("id")) {
        auto rest = nlohmann::json::array();
        for (const auto& host : hosts_) {
            if (host.at("id") != body.at("id")) {
                rest.push_back(host);
            }
        }
        if (body.value("state", "live") != "gone") {
            rest.push_back(body);
        }
        hosts_ = std::move(rest);
        return plain(http::status::ok, "changed");
    }
    return plain(http::status::bad_request, "PUT a list or POST one host");
}

cw_http_response cw_store_standin::serve_control(const cw_http_request& request) {
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object()) {
        return plain(http::status::bad_request,
                     "POST {\"up\", \"delay_ms\", \"lost_reply_share\"}");
    }
    up_ = body.value("up", up_);
    delay_ = std::chrono::milliseconds{body.value("delay_ms", delay_.count())};
    lost_reply_share_ = body.value("lost_reply_share", lost_reply_share_);
    changed_.notify_all();
    return plain(http::status::ok, "set");
}

cw_http_response cw_store_standin::stats() const {
    return cw_make_response(http::status::ok,
                            nlohmann::json{{"reads", reads_.total},
                                           {"writes", writes_.total},
                                           {"most_reads_per_second", reads_.most_in_a_second},
                                           {"most_writes_per_second", writes_.most_in_a_second},
                                           {"waiting_watches", waiting_},
                                           {"most_waiting_watches", most_waiting_}}
                                .dump());
}
