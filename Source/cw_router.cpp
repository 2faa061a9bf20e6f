#include "cw_router.h"

#include "cw_async.h"
#include "cw_query.h"
#include "cw_router_services.h"
#include "cw_traffic_thread.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/beast/http/field.hpp>
#include <caf/send.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {
using namespace std::chrono_literals;
/// Time for which the keeper may hold a long poll when there are no new routes.
constexpr auto routes_wait = 5s;
/// Additional time for the response to a long poll to arrive.
constexpr auto response_margin = 500ms;
constexpr auto retry_delay = 100ms;
constexpr auto drain_poll_interval = 5ms;
/// Time without open requests after which no caller is expected to send on a kept-alive connection.
constexpr auto quiet_period = 200ms;
} // namespace

cw_router::cw_router(cw_router_options options)
    : options_{std::move(options)},
      shared_{options_.host, options_.domain, options_.max_requests},
      admin_{context_, options_.admin_address,
             [this](cw_http_request request) { return serve_admin(std::move(request)); }},
      http_{context_} {
    for (std::uint32_t i = 0; i < options_.threads; ++i) {
        threads_.push_back(std::make_unique<cw_traffic_thread>(shared_, options_.listen_address,
                                                               options_.adaptive_limits));
    }
}

cw_router::~cw_router() = default;

void cw_router::run() {
    cw_start_router_control(kernel_, shared_);
    std::vector<cw_traffic_context*> traffic;
    for (auto& thread : threads_) {
        traffic.push_back(&thread->traffic());
        thread->start();
    }
    cw_start_router_report(kernel_, shared_, options_, traffic);
    admin_.start();
    net::co_spawn(context_, poll_keeper(), net::detached);
    net::signal_set signals{context_, SIGTERM, SIGINT};
    signals.async_wait([this](const boost::system::error_code& failure, int) {
        if (!failure) {
            net::co_spawn(context_, shut_down(), net::detached);
        }
    });
    shared_.timeline().add({"started", options_.host, ""}, std::chrono::system_clock::now());
    context_.run();
    kernel_.stop();
    for (auto& thread : threads_) {
        thread->stop();
    }
    log_.info("Stopped.", {{"requests_cut", std::to_string(shared_.open_requests.load())}});
}

net::awaitable<void> cw_router::poll_keeper() {
    std::size_t keeper_index = 0;
    std::uint64_t run = 0;
    std::uint64_t revision = 0;
    while (true) {
        const auto keeper =
            options_.keeper_addresses.at(keeper_index % options_.keeper_addresses.size());
        const auto target =
            "/v1/routes?run=" + std::to_string(run) + "&revision=" + std::to_string(revision) +
            "&wait_ms=" + std::to_string(std::chrono::milliseconds{routes_wait}.count());
        cw_http_request request{http::verb::get, target, 11};
        request.set(http::field::host, keeper);
        const auto deadline = std::chrono::steady_clock::now() + routes_wait + response_margin;
        const auto response = co_await http_.request(keeper, std::move(request), deadline);
        if (response && response->result() == http::status::ok) {
            const auto state = nlohmann::json::parse(response->body(), nullptr, false);
            run = state.value("run", std::uint64_t{0});
            revision = state.value("revision", std::uint64_t{0});
            add_keepers(state.value("hosts", nlohmann::json::array()));
            caf::anon_send(kernel_.find("control"), response->body());
            continue;
        }
        if (response && response->result() == http::status::no_content) {
            continue;
        }
        ++keeper_index;
        co_await cw_pause(context_, retry_delay);
    }
}

void cw_router::add_keepers(const nlohmann::json& hosts) {
    for (const auto& host : hosts) {
        if (host.value("kind", "") != "entry" || host.value("domain", "") != options_.domain) {
            continue;
        }
        const auto address = host.value("address", "");
        auto& addresses = options_.keeper_addresses;
        if (std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
            addresses.push_back(address);
        }
    }
}

net::awaitable<void> cw_router::shut_down() {
    ready_ = false;
    shared_.timeline().add({"stopping", options_.host, "no longer ready"},
                           std::chrono::system_clock::now());
    co_await cw_pause(context_, options_.deregistration_delay);
    shared_.set_stopping();
    for (auto& thread : threads_) {
        thread->stop_accepting();
    }
    const auto until = std::chrono::steady_clock::now() + options_.drain_timeout;
    auto quiet_since = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < until) {
        if (shared_.open_requests.load() != 0) {
            quiet_since = std::chrono::steady_clock::now();
        } else if (std::chrono::steady_clock::now() > quiet_since + quiet_period) {
            break;
        }
        co_await cw_pause(context_, drain_poll_interval);
    }
    context_.stop();
}

std::string cw_router::metrics() const {
    std::string text;
    for (std::size_t i = 0; i < threads_.size(); ++i) {
        text += threads_[i]->traffic().metrics.exposition(i);
    }
    const auto view = shared_.view();
    text += "cuminwinch_open_requests " + std::to_string(shared_.open_requests.load()) + "\n";
    text += "cuminwinch_config_version " +
            std::to_string(view == nullptr ? 0 : view->config().version) + "\n";
    return text;
}

net::awaitable<cw_http_response> cw_router::serve_admin(cw_http_request request) {
    const auto path = cw_target_path({request.target().data(), request.target().size()});
    if (path == "/healthz") {
        co_return cw_make_response(http::status::ok, "ok\n", "text/plain");
    }
    if (path == "/readyz") {
        const bool ready = ready_ && shared_.view() != nullptr;
        co_return cw_make_response(ready ? http::status::ok : http::status::service_unavailable,
                                   ready ? "ready\n" : "not ready\n", "text/plain");
    }
    if (path == "/metrics") {
        co_return cw_make_response(http::status::ok, metrics(), "text/plain; version=0.0.4");
    }
    co_return cw_make_response(http::status::not_found, "no such page\n", "text/plain");
}
