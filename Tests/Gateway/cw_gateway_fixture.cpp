#include "cw_gateway_fixture.h"

#include "cw_gateway_session.h"
#include "cw_platform_dialect.h"
#include "cw_raw_caller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <stdexcept>

namespace net = boost::asio;
using namespace std::chrono_literals;

namespace {

cw_site_route route(const std::string& name, bool repeatable) {
    cw_site_route made;
    made.name = name;
    made.host = "shop.example";
    made.prefix = "/" + name + "/";
    made.parts = {{name, 1}};
    made.repeatable = repeatable;
    made.max_attempts = 2;
    made.timeout = 2s;
    made.target = 1s;
    return made;
}

/// The configuration of the fixture; `removed` names a route that it lacks.
std::shared_ptr<const cw_site_config> make_config(std::uint64_t version, double cold_rate = 0.0,
                                                  const std::string& removed = {},
                                                  std::chrono::milliseconds cold_start = 0ms) {
    cw_caller_limits limits;
    limits.max_header_bytes = 4'096;
    limits.max_body_bytes = 10'000;
    limits.header_timeout = 400ms;
    limits.idle_timeout = 1s;
    auto long_route = route("long", true);
    long_route.parts = {{"safe", 1}};
    long_route.timeout = 4s;
    long_route.target = 200ms;
    std::vector<cw_site_route> routes{route("safe", true), route("order", false),
                                      route("key", true), long_route};
    std::erase_if(routes, [&](const auto& each) { return each.name == removed; });
    auto config =
        cw_site_config::make(version, limits, std::move(routes),
                             {{.name = "safe", .cold_rate = cold_rate, .cold_start = cold_start},
                              {.name = "order", .cold_rate = cold_rate},
                              {.name = "key", .keyed = true, .cold_rate = cold_rate}});
    if (!config) {
        throw std::logic_error(config.error().text());
    }
    return std::make_shared<const cw_site_config>(std::move(*config));
}

} // namespace

cw_gateway_fixture::cw_gateway_fixture(std::vector<cw_raw_upstream::script> upstreams,
                                       cw_gateway_options options)
    : options_{std::move(options)},
      traffic_{options_, metrics_},
      acceptor_{traffic_.context(), {net::ip::address_v4::loopback(), 0}},
      port_{acceptor_.local_endpoint().port()} {
    for (auto& script : upstreams) {
        upstreams_.push_back(std::make_unique<cw_raw_upstream>(std::move(script)));
    }
    traffic_.set_leaving_reporter([this](const cw_leaving_notice& notice) {
        const std::scoped_lock lock{leaving_mutex_};
        leaving_notices_.push_back(notice);
    });
    view_ = make_view();
    set_key_owner(0, false);
    traffic_.limits().apply(1, {}, cw_boot_clock::now());
    net::co_spawn(traffic_.context(), accept(), net::detached);
    thread_ = std::jthread{[this] { traffic_.context().run(); }};
}

cw_gateway_fixture::~cw_gateway_fixture() {
    traffic_.context().stop();
}

net::awaitable<void> cw_gateway_fixture::accept() {
    while (true) {
        auto socket = co_await acceptor_.async_accept(net::use_awaitable);
        using session = cw_gateway_session<cw_platform_dialect>;
        net::co_spawn(traffic_.context(),
                      session::run(std::make_unique<session>(traffic_, std::move(socket))),
                      net::detached);
    }
}

std::shared_ptr<cw_gateway_view> cw_gateway_fixture::make_view() const {
    auto view = std::make_shared<cw_gateway_view>();
    view->config = make_config(1);
    cw_upstream_lists lists;
    for (std::size_t index = 0; index < upstreams_.size(); ++index) {
        for (const char* service : {"safe", "order", "key"}) {
            cw_upstream_entry entry;
            entry.id = "u" + std::to_string(index);
            entry.service = service;
            entry.address = upstreams_[index]->address();
            entry.slots = 3;
            entry.incarnation = 1;
            lists[service].push_back(entry);
        }
    }
    view->upstreams = std::make_shared<const cw_upstream_lists>(std::move(lists));
    return view;
}

void cw_gateway_fixture::set_key_owner(std::size_t index, bool is_moving) {
    cw_key_table table;
    table.term = {0, 1};
    table.edition = edition_++;
    table.last_fence = table.edition;
    auto& range = table.ranges.front();
    range.owner = {"u" + std::to_string(index), 1, upstreams_.at(index)->address()};
    range.fence = table.edition;
    if (is_moving) {
        range.previous_owners = {{"gone", 1, "127.0.0.1:1"}};
    }
    auto view = std::make_shared<cw_gateway_view>(*view_);
    view->tables["key"] = std::make_shared<const cw_key_table>(std::move(table));
    view_ = view;
    traffic_.publish(view);
}

void cw_gateway_fixture::make_unreachable(std::size_t index) {
    auto view = std::make_shared<cw_gateway_view>(*view_);
    auto lists = *view->upstreams;
    for (auto& [service, upstreams] : lists) {
        upstreams.at(index).address = "127.0.0.1:1";
    }
    view->upstreams = std::make_shared<const cw_upstream_lists>(std::move(lists));
    view_ = view;
    traffic_.publish(view);
}

void cw_gateway_fixture::set_domain(std::size_t index, const std::string& domain) {
    auto view = std::make_shared<cw_gateway_view>(*view_);
    auto lists = *view->upstreams;
    for (auto& [service, upstreams] : lists) {
        upstreams.at(index).domain = domain;
    }
    view->upstreams = std::make_shared<const cw_upstream_lists>(std::move(lists));
    view_ = view;
    traffic_.publish(view);
}

void cw_gateway_fixture::set_evacuations(cw_evacuation_view evacuations) {
    auto view = std::make_shared<cw_gateway_view>(*view_);
    view->evacuations = std::move(evacuations);
    view_ = view;
    traffic_.publish(view);
}

void cw_gateway_fixture::set_config(std::uint64_t version) {
    auto view = std::make_shared<cw_gateway_view>(*view_);
    view->config = make_config(version);
    view_ = view;
    traffic_.publish(view);
}

void cw_gateway_fixture::set_cold_rate(double cold_rate) {
    auto view = std::make_shared<cw_gateway_view>(*view_);
    view->config = make_config(view_->config->version() + 1, cold_rate);
    view_ = view;
    traffic_.publish(view);
}

void cw_gateway_fixture::set_cold(std::size_t index, std::chrono::milliseconds remaining) {
    auto view = std::make_shared<cw_gateway_view>(*view_);
    auto lists = *view->upstreams;
    for (auto& [service, upstreams] : lists) {
        upstreams.at(index).warm_at = cw_boot_clock::now() + remaining;
    }
    view->upstreams = std::make_shared<const cw_upstream_lists>(std::move(lists));
    view_ = view;
    traffic_.publish(view);
}

void cw_gateway_fixture::remove_route(const std::string& name, std::uint64_t version) {
    auto view = std::make_shared<cw_gateway_view>(*view_);
    view->config = make_config(version, 0.0, name);
    view_ = view;
    traffic_.publish(view);
}

void cw_gateway_fixture::set_cold_start(std::chrono::milliseconds cold_start) {
    auto view = std::make_shared<cw_gateway_view>(*view_);
    view->config = make_config(view_->config->version() + 1, 0.0, {}, cold_start);
    view_ = view;
    traffic_.publish(view);
}

void cw_gateway_fixture::start_again(std::size_t index) {
    auto view = std::make_shared<cw_gateway_view>(*view_);
    auto lists = *view->upstreams;
    for (auto& [service, upstreams] : lists) {
        ++upstreams.at(index).incarnation;
    }
    view->upstreams = std::make_shared<const cw_upstream_lists>(std::move(lists));
    view_ = view;
    traffic_.publish(view);
}

std::size_t cw_gateway_fixture::ramping_upstreams() {
    traffic_.update_ramps();
    std::promise<void> updated;
    net::post(traffic_.context(), [&updated] { updated.set_value(); });
    updated.get_future().wait();
    return traffic_.ramping_upstreams();
}

void cw_gateway_fixture::block_traffic(std::chrono::milliseconds duration) {
    net::post(traffic_.context(), [duration] { std::this_thread::sleep_for(duration); });
}

void cw_gateway_fixture::stop_after(std::chrono::milliseconds length) {
    auto view = std::make_shared<cw_gateway_view>(*view_);
    view->hosts = 2;
    view->stopping = true;
    view_ = view;
    traffic_.publish(view);
    traffic_.set_answers_until(std::chrono::steady_clock::now() + length);
}

std::vector<cw_leaving_notice> cw_gateway_fixture::leaving_notices() {
    const std::scoped_lock lock{leaving_mutex_};
    return leaving_notices_;
}

void cw_gateway_fixture::clear_config() {
    traffic_.publish(std::make_shared<const cw_gateway_view>());
}

std::string cw_gateway_fixture::send(const std::string& method, const std::string& path,
                                     const std::string& fields, const std::string& body) {
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + fields;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "Connection: close\r\n\r\n" + body;
    return cw_send_raw(port_, {text}, 0ms, 5s);
}

std::string cw_header_value(const std::string& message, const std::string& name) {
    const auto at = message.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 4;
    return message.substr(begin, message.find("\r\n", begin) - begin);
}

std::string cw_upstream_answer(const std::string& request, const std::string& status,
                               const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + status +
           "\r\nX-Cuminwinch-Attempt-Id: " + cw_header_value(request, "X-Cuminwinch-Attempt-Id") +
           "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
