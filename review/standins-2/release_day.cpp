/// A day on which services are released again and again, one instance after the other: a store, the
/// instances of three services, clients with kept connections, and at the end clients that come
/// anew. Usage: release_day STORE-PORT FIRST-INSTANCE-PORT FRONT-PORT READY-PORT TROUBLE RECORD
///
/// Exits with 1 if the front says that it is ready and takes no new connection for 3 s while seven
/// clients or more try; with 2 if the day could not be played.

#include "instance.h"

#include <fstream>
#include <iomanip>
#include <iostream>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr auto stability_window = 3'000ms;
constexpr std::size_t instances_per_service = 8;
constexpr std::size_t clients_per_service = 120;
/// Time over which the requests of one second are spread.
constexpr auto spread = 60ms;
constexpr std::size_t late_clients = 10;
constexpr auto release_gap = 1'000ms;
constexpr auto drain_time = 2'500ms;
constexpr auto release_length = 95s;
constexpr auto late_length = 8s;
constexpr auto client_time_limit = 1'200ms;

const std::vector<service_shape>& shapes() {
    static const std::vector<service_shape> list{
        {"catalogue", 6, 24, 120ms, 10'000ms},
        {"orders", 6, 24, 160ms, 10'000ms},
        {"exports", 6, 24, 300ms, 10'000ms},
    };
    return list;
}

json rule(const char* name, const char* kind, const char* service, double target, double timeout) {
    return {{"name", name},
            {"kind", kind},
            {"targetLatencyS", target},
            {"priority", 1},
            {"match", {{"pathPrefix", std::string{"/"} + name + "/"}}},
            {"action", {{"service", service}, {"timeoutS", timeout}, {"maxAttempts", 2}}}};
}

json configuration() {
    json clusters = json::array();
    for (const auto& shape : shapes()) {
        clusters.push_back({{"name", shape.name}, {"maxConnections", 130}});
    }
    return {{"version", 7},
            {"limits",
             {{"maxHeaderBytes", 16'384},
              {"maxBodyBytes", 65'536},
              {"headerTimeoutS", 3},
              {"idleTimeoutS", 15}}},
            {"listeners",
             {{{"host", "shop.example"},
               {"rules",
                {rule("catalogue", "safe", "catalogue", 0.4, 1.0),
                 rule("orders", "non_idempotent", "orders", 0.5, 1.2),
                 rule("exports", "safe", "exports", 0.8, 1.2)}}}}},
            {"clusters", clusters}};
}

struct tally {
    std::uint64_t sent = 0;
    std::uint64_t good = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t unanswered = 0;
};

class day {
public:
    day(std::uint16_t store_port, std::uint16_t first_port, std::uint16_t front,
        std::uint16_t ready, bool has_trouble, const char* record)
        : objects_{context_, store_port},
          next_port_{first_port},
          front_{loopback(front)},
          ready_{loopback(ready)},
          has_trouble_{has_trouble},
          record_{record} {}

    int run() {
        objects_.put("config", "main", configuration());
        for (const auto& shape : shapes()) {
            for (std::size_t i = 0; i < instances_per_service; ++i) {
                start_instance(shape);
            }
        }
        net::co_spawn(context_, play(), [this](const std::exception_ptr& failure) {
            if (failure) {
                std::rethrow_exception(failure);
            }
            context_.stop();
        });
        std::cout << "store is up" << std::endl;
        context_.run();
        return result_;
    }

private:
    struct member {
        std::shared_ptr<instance> process;
        bool is_leaving = false;
    };

    double seconds() const {
        return std::chrono::duration<double>(steady::now() - started_).count();
    }

    std::ofstream& note() {
        record_ << std::fixed << std::setprecision(2) << seconds() << " s: ";
        return record_;
    }

    void start_instance(const service_shape& shape) {
        const auto port = next_port_++;
        auto process = std::make_shared<instance>(
            context_, objects_, shape, "i-" + shape.name + "-" + std::to_string(++lives_), "z1",
            port);
        process->start();
        members_[shape.name].push_back({std::move(process), false});
    }

    task<void> beat() {
        while (true) {
            for (auto& [name, list] : members_) {
                for (auto& each : list) {
                    each.process->beat();
                }
            }
            co_await pause(context_, 1'500ms);
        }
    }

    /// The platform's question, once a second, on a kept connection.
    task<void> ask_ready() {
        connection kept{context_};
        while (true) {
            request question{http::verb::get, "/readyz", 11};
            question.set(http::field::host, "front");
            const auto answer = co_await kept.call(ready_, std::move(question), 1'000ms);
            is_ready_ = answer && answer->result_int() == 200;
            ready_changes_ += is_ready_ ? 0 : 1;
            co_await pause(context_, 1'000ms);
        }
    }

    /// The oldest instance of a service is replaced: the new one starts first, the old one drains.
    task<void> release(service_shape shape) {
        while (is_releasing_) {
            start_instance(shape);
            auto& list = members_[shape.name];
            const auto old = std::find_if(list.begin(), list.end(),
                                          [](const auto& each) { return !each.is_leaving; });
            old->is_leaving = true;
            old->process->announce("draining");
            net::co_spawn(context_, leave(shape.name, old->process), net::detached);
            co_await pause(context_, release_gap);
        }
    }

    task<void> leave(std::string service, std::shared_ptr<instance> process) {
        co_await pause(context_, drain_time);
        process->end();
        ++ended_;
        std::erase_if(members_[service], [&](const auto& each) { return each.process == process; });
    }

    request make_request(const std::string& service) {
        const bool is_order = service == "orders";
        request message{is_order ? http::verb::post : http::verb::get,
                        "/" + service + "/" + std::to_string(++attempts_), 11};
        message.set(http::field::host, "shop.example");
        message.set("X-Cuminwinch-Attempt-Id", "a" + std::to_string(attempts_));
        message.set("X-Cuminwinch-Request-Timeout-Ms", std::to_string(client_time_limit.count()));
        if (is_order) {
            message.body() = "shirts";
        }
        return message;
    }

    static void count(tally& counts, const std::optional<response>& answer) {
        ++counts.sent;
        if (!answer) {
            ++counts.unanswered;
        } else if (answer->result_int() == 200) {
            ++counts.good;
        } else if (answer->result_int() == 503) {
            ++counts.refused;
        } else {
            ++counts.failed;
        }
    }

    /// A client with a kept connection; it sends a request at about the start of each second.
    task<void> kept_client(std::string service, milliseconds offset) {
        connection kept{context_};
        for (auto next = started_ + 1s + offset; is_open_; next += 1s) {
            net::steady_timer timer{context_, next};
            boost::system::error_code ignored;
            co_await timer.async_wait(into(ignored));
            const auto answer =
                co_await kept.call(front_, make_request(service), client_time_limit);
            count(kept_, answer);
        }
    }

    /// A client that comes anew: a new connection for each request, which it allows a second to be
    /// established and read.
    task<void> new_client() {
        while (is_open_) {
            connection fresh{context_};
            ++tries_;
            const auto answer = co_await fresh.call(front_, make_request("catalogue"), 1'000ms);
            count(fresh_, answer);
            if (answer) {
                last_taken_ = steady::now();
            }
            co_await pause(context_, 200ms);
        }
    }

    task<void> wait_for_front() {
        for (int i = 0; i < 200 && !is_front_up_; ++i) {
            connection first{context_};
            const auto answer =
                co_await first.call(front_, make_request("catalogue"), client_time_limit);
            is_front_up_ = answer && answer->result_int() == 200;
            co_await pause(context_, 50ms);
        }
    }

    void write_tally(const char* who, const tally& counts) {
        note() << who << ": " << counts.sent << " requests, " << counts.good << " served, "
               << counts.refused << " refused (503), " << counts.failed << " failed, "
               << counts.unanswered << " without an answer\n";
        record_.flush();
    }

    task<void> report() {
        while (true) {
            co_await pause(context_, 5'000ms);
            note() << lives_ << " instances started, " << ended_ << " ended; ready "
                   << (is_ready_ ? "yes" : "no") << '\n';
            write_tally("clients with kept connections", kept_);
        }
    }

    task<void> play() {
        net::co_spawn(context_, beat(), net::detached);
        co_await wait_for_front();
        if (!is_front_up_) {
            note() << "the front did not serve\n";
            result_ = 2;
            co_return;
        }
        started_ = steady::now();
        net::co_spawn(context_, ask_ready(), net::detached);
        net::co_spawn(context_, report(), net::detached);
        for (const auto& shape : shapes()) {
            for (std::size_t i = 0; i < clients_per_service; ++i) {
                net::co_spawn(context_, kept_client(shape.name, milliseconds{i % spread.count()}),
                              net::detached);
            }
        }
        co_await pause(context_, 700ms);
        is_releasing_ = has_trouble_;
        for (const auto& shape : shapes()) {
            net::co_spawn(context_, release(shape), net::detached);
        }
        co_await pause(context_, release_length);
        is_releasing_ = false;
        // The last disruption has ended when the last old instance has.
        co_await pause(context_, drain_time + stability_window);
        write_tally("clients with kept connections", kept_);
        note() << late_clients << " clients come anew\n";
        kept_ = {};
        last_taken_ = steady::now();
        milliseconds longest{0};
        bool was_ready = is_ready_;
        for (std::size_t i = 0; i < late_clients; ++i) {
            net::co_spawn(context_, new_client(), net::detached);
        }
        const auto until = steady::now() + late_length;
        while (steady::now() < until) {
            co_await pause(context_, 100ms);
            was_ready = was_ready && is_ready_;
            longest = std::max(
                longest, std::chrono::duration_cast<milliseconds>(steady::now() - last_taken_));
        }
        is_open_ = false;
        write_tally("clients with kept connections, since then", kept_);
        write_tally("clients that came anew", fresh_);
        note() << "the front said that it was ready "
               << (was_ready ? "all the while" : "not always")
               << "; longest time without a new connection taken: " << longest.count() << " ms\n";
        result_ = was_ready && longest >= stability_window ? 1 : 0;
        note() << (result_ == 1 ? "RECOVER is broken\n" : "RECOVER holds\n");
    }

    net::io_context context_{1};
    store objects_;
    std::uint16_t next_port_;
    tcp::endpoint front_;
    tcp::endpoint ready_;
    bool has_trouble_;
    std::ofstream record_;
    std::map<std::string, std::vector<member>> members_;
    steady::time_point started_ = steady::now();
    steady::time_point last_taken_;
    std::uint64_t lives_ = 0;
    std::uint64_t ended_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t tries_ = 0;
    std::uint64_t ready_changes_ = 0;
    tally kept_;
    tally fresh_;
    bool is_ready_ = false;
    bool is_front_up_ = false;
    bool is_releasing_ = false;
    bool is_open_ = true;
    int result_ = 2;
};

std::uint16_t port_of(const char* text) {
    return static_cast<std::uint16_t>(std::atoi(text));
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 7) {
        return 2;
    }
    day played{port_of(argv[1]), port_of(argv[2]),  port_of(argv[3]),
               port_of(argv[4]), argv[5][0] != '0', argv[6]};
    return played.run();
}
