/// The platform's store, the instances of two services, and clients of two gateways. A later
/// configuration adds a route to a service that is divided by key. Then the instances of that
/// service are replaced one after the other. With trouble, those that leave spoil the token in
/// their answers to releases.
/// Usage: token_world BASE-PORT LISTEN-1 ADMIN-1 LISTEN-2 ADMIN-2 TROUBLE RECORD
/// Prints "store is up" when the gateways can be started. Exit code: 1 if the rule was broken, 0 if
/// it held, 2 if the case could not run.

#include "world.h"

using namespace review;

namespace {

constexpr std::size_t keyed_instances = 5;
constexpr std::size_t plain_instances = 6;
constexpr auto drain_time = 2'000ms;
constexpr auto drain_extra = 500ms;
constexpr auto release_gap = 1'000ms;
constexpr auto time_limit = 1'200ms;
constexpr auto request_gap = 10ms;
constexpr auto settle_time = 8s;
constexpr std::size_t releases = 4;
constexpr auto between_releases = 6s;
constexpr auto steady_time = 15s;

struct gateway {
    std::uint16_t listen;
    std::uint16_t admin;
};

struct tally {
    std::size_t sent = 0;
    std::size_t served = 0;
    std::map<std::string, std::size_t> outcomes;
};

class world {
public:
    world(std::uint16_t base, std::vector<gateway> gateways, bool trouble,
          const std::string& record_path)
        : store_{context_, loopback(base)},
          next_port_{static_cast<std::uint16_t>(base + 1)},
          gateways_{std::move(gateways)},
          has_trouble_{trouble},
          record_{record_path} {}

    int run() {
        store_.set_history(20'000);
        store_.put("config", "main", config(1, false));
        store_.start();
        for (std::size_t i = 0; i < plain_instances; ++i) {
            add_server(false);
        }
        for (std::size_t i = 0; i < keyed_instances; ++i) {
            add_server(true);
        }
        std::cout << "store is up" << std::endl;
        net::co_spawn(context_, beat(), net::detached);
        net::co_spawn(context_, act(), [this](const std::exception_ptr& failure) {
            if (failure) {
                code_ = 2;
            }
            context_.stop();
        });
        context_.run();
        record_.flush();
        return code_;
    }

private:
    static json rule(const char* path, const char* service) {
        return {{"name", service},
                {"kind", "safe"},
                {"targetLatencyS", 0.5},
                {"priority", 1},
                {"match", {{"pathPrefix", path}}},
                {"action", {{"service", service}, {"timeoutS", 1.2}, {"maxAttempts", 2}}}};
    }

    static json config(std::uint64_t version, bool has_later_route) {
        auto rules = json::array({rule("/orders/", "archive")});
        auto services = json::array({{{"name", "archive"}}});
        if (has_later_route) {
            rules.push_back(rule("/views/", "gallery"));
            services.push_back({{"name", "gallery"}, {"sharded", true}, {"warmupS", 1}});
        }
        return {{"version", version},
                {"limits",
                 {{"maxHeaderBytes", 16'384},
                  {"maxBodyBytes", 65'536},
                  {"headerTimeoutS", 3},
                  {"idleTimeoutS", 15}}},
                {"listeners", json::array({{{"host", "shop.example"}, {"rules", rules}}})},
                {"clusters", services}};
    }

    std::shared_ptr<server> add_server(bool is_keyed) {
        server_options options;
        options.service = is_keyed ? "gallery" : "archive";
        options.is_keyed = is_keyed;
        options.slots = 3;
        options.work = 60ms;
        const auto id = "i-" + std::to_string(++count_);
        while (true) {
            auto added = std::make_shared<server>(context_, id, next_port_++, options);
            try {
                added->start();
            } catch (const boost::system::system_error&) {
                continue;
            }
            servers_.push_back(added);
            if (is_keyed) {
                keyed_.push_back(added);
            }
            store_.put("servers", id, added->entry(++sequence_));
            return added;
        }
    }

    net::awaitable<void> beat() {
        while (true) {
            co_await cw_pause(context_, 870ms);
            for (const auto& each : servers_) {
                store_.put("servers", each->id(), each->entry(++sequence_));
            }
        }
    }

    net::awaitable<void> replace(std::shared_ptr<server> old) {
        const auto added = add_server(true);
        co_await cw_pause(context_, 500ms);
        if (has_trouble_) {
            old->spoil_tokens();
        }
        old->leave();
        store_.put("servers", old->id(), old->entry(++sequence_));
        record_.line(old->id() + " leaves, " + added->id() + " has come");
        co_await cw_pause(context_, drain_time + drain_extra);
        servers_.remove(old);
        store_.remove("servers", old->id());
        old->end();
        record_.line(old->id() + " has ended: " + std::to_string(old->answers()) +
                     " answers, spoilt " + std::to_string(old->spoilt()));
        ended_.push_back(std::move(old));
    }

    net::awaitable<bool> is_ready(std::uint16_t port) {
        boost::beast::tcp_stream stream{context_};
        boost::beast::flat_buffer buffer;
        boost::system::error_code failure;
        stream.expires_after(1s);
        co_await stream.async_connect(loopback(port).tcp(), cw_redirect_error(failure));
        if (failure) {
            co_return false;
        }
        cw_http_request request{http::verb::get, "/readyz", 11};
        request.set(http::field::host, "127.0.0.1");
        const auto result = co_await exchange(stream, buffer, request, 1s);
        co_return result.status == 200;
    }

    net::awaitable<void> send(std::string path, tally& counted, std::uint16_t port) {
        const auto id = "r" + std::to_string(++last_request_);
        boost::beast::tcp_stream stream{context_};
        boost::beast::flat_buffer buffer;
        boost::system::error_code failure;
        auto request = make_request(id, time_limit, false);
        request.target(path);
        request.set("X-Cuminwinch-Shard-Key", std::to_string(last_request_ * 7'919 % 65'536));
        stream.expires_after(1s);
        co_await stream.async_connect(loopback(port).tcp(), cw_redirect_error(failure));
        outcome result;
        if (!failure) {
            result = co_await exchange(stream, buffer, request, time_limit);
        }
        ++counted.sent;
        counted.served += result.status == 200 && result.has_signature ? 1 : 0;
        ++counted.outcomes[result.status == 0 ? "no answer" : std::to_string(result.status)];
    }

    net::awaitable<void> call() {
        for (std::size_t number = 0;; ++number) {
            const auto port = gateways_[number % gateways_.size()].listen;
            net::co_spawn(context_, send("/orders/x", first_, port), net::detached);
            if (is_later_route_known_) {
                net::co_spawn(context_, send("/views/x", later_, port), net::detached);
            }
            co_await cw_pause(context_, request_gap);
        }
    }

    void report(const std::string& when) {
        for (const auto& [name, counted] :
             {std::pair{"first route", &first_}, std::pair{"later route", &later_}}) {
            std::string text = when + ", " + name + ": sent " + std::to_string(counted->sent) +
                               ", served " + std::to_string(counted->served) + ", answers:";
            for (const auto& [what, number] : counted->outcomes) {
                text += " " + what + " " + std::to_string(number);
            }
            record_.line(text);
        }
        record_.flush();
    }

    net::awaitable<void> act() {
        const auto ready_by = clock_type::now() + 15s;
        std::size_t ready = 0;
        while (ready < gateways_.size() && clock_type::now() < ready_by) {
            ready = 0;
            for (const auto& each : gateways_) {
                ready += co_await is_ready(each.admin) ? 1 : 0;
            }
            co_await cw_pause(context_, 100ms);
        }
        if (ready < gateways_.size()) {
            record_.line("a gateway did not become ready");
            co_return;
        }
        net::co_spawn(context_, call(), net::detached);
        co_await cw_pause(context_, 3s);
        store_.put("config", "main", config(2, true));
        record_.line("version 2 adds the later route");
        co_await cw_pause(context_, 6s);
        is_later_route_known_ = true;
        co_await cw_pause(context_, 10s);
        report("before the release");
        for (std::size_t round = 0; round < releases; ++round) {
            const auto old = std::exchange(keyed_, {});
            for (const auto& each : old) {
                net::co_spawn(context_, replace(each), net::detached);
                co_await cw_pause(context_, release_gap);
            }
            co_await cw_pause(context_, drain_time + drain_extra + between_releases);
        }
        co_await cw_pause(context_, settle_time);
        report("around the release");
        first_ = {};
        later_ = {};
        co_await cw_pause(context_, steady_time);
        report("in steady state after it");
        const bool is_enough = later_.sent >= 20 && first_.served * 2 >= first_.sent;
        const bool is_broken = later_.served * first_.sent * 4 < first_.served * later_.sent;
        record_.line(!is_enough ? "COULD NOT BE JUDGED" : is_broken ? "BROKEN" : "HELD");
        std::cout << (is_broken ? "BROKEN" : "HELD") << std::endl;
        code_ = !is_enough ? 2 : is_broken ? 1 : 0;
    }

    net::io_context context_{1};
    cw_platform_standin store_;
    std::uint16_t next_port_;
    std::vector<gateway> gateways_;
    bool has_trouble_;
    record record_;
    std::list<std::shared_ptr<server>> servers_;
    std::vector<std::shared_ptr<server>> keyed_;
    std::vector<std::shared_ptr<server>> ended_;
    std::uint64_t sequence_ = 0;
    std::size_t count_ = 0;
    std::uint64_t last_request_ = 0;
    tally first_;
    tally later_;
    bool is_later_route_known_ = false;
    int code_ = 2;
};

} // namespace

int main(int argc, char** argv) {
    if (argc < 8) {
        std::cerr << "usage: token_world BASE-PORT LISTEN-1 ADMIN-1 LISTEN-2 ADMIN-2 TROUBLE "
                     "RECORD\n";
        return 2;
    }
    const auto port = [&](int i) { return static_cast<std::uint16_t>(std::atoi(argv[i])); };
    try {
        world scene{port(1),
                    {{port(2), port(3)}, {port(4), port(5)}},
                    std::string{argv[6]} != "0",
                    argv[7]};
        return scene.run();
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}
