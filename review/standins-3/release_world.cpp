/// The platform's store, the instances of one service and the clients of one gateway. With trouble,
/// the instances are replaced one after the other, again and again, as in a release.
/// Usage: cw_review_release BASE-PORT LISTEN ADMIN TROUBLE RECORD
/// Prints "store is up" when the gateway can be started. Exit code: 1 if the rule was broken, 0 if
/// it held, 2 if the case could not run.

#include "world.h"

using namespace review;

namespace {

/// From the pages of the Nordclair deployment: `actionneurs` has 3 slots; a release replaces a
/// share of 0.45 of the instances, 7 at a time, each 0.92 s; drainS 2.5; stabilityWindowS 3.
constexpr std::size_t instances = 28;
constexpr std::size_t replaced_at_a_time = 7;
constexpr auto release_gap = 920ms;
constexpr auto drain_time = 2'500ms;
constexpr auto drain_extra = 300ms;
constexpr auto heartbeat = 870ms;
constexpr auto stability_window = 3s;
constexpr auto time_limit = 5'000ms;
constexpr std::size_t callers = 64;
constexpr std::size_t sent_together = 8;
constexpr auto release_length = 70s;
constexpr auto calm_length = 16s;
constexpr std::size_t min_tries = 7;

class world {
public:
    world(std::uint16_t base, std::uint16_t listen, std::uint16_t admin, bool trouble,
          const std::string& record_path)
        : store_{context_, loopback(base)},
          next_port_{static_cast<std::uint16_t>(base + 1)},
          listen_{listen},
          admin_{admin},
          has_trouble_{trouble},
          record_{record_path} {}

    int run() {
        store_.set_history(20'000);
        store_.put("config", "main", configuration(1, "safe", "actionneurs", 5.0, 1.2));
        store_.start();
        for (std::size_t i = 0; i < instances; ++i) {
            add_server();
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
    void add_server() {
        server_options options;
        options.service = "actionneurs";
        options.slots = 3;
        options.queue = 12;
        options.work = 290ms;
        const auto number = ++count_;
        while (true) {
            auto added = std::make_shared<server>(context_, "i-" + std::to_string(number),
                                                  next_port_++, options);
            try {
                added->start();
            } catch (const boost::system::system_error&) {
                continue;
            }
            servers_.push_back(added);
            store_.put("servers", added->id(), added->entry(++sequence_));
            return;
        }
    }

    net::awaitable<void> beat() {
        while (true) {
            co_await cw_pause(context_, heartbeat);
            for (const auto& each : servers_) {
                store_.put("servers", each->id(), each->entry(++sequence_));
            }
        }
    }

    net::awaitable<void> drain(std::shared_ptr<server> leaving) {
        leaving->leave();
        store_.put("servers", leaving->id(), leaving->entry(++sequence_));
        co_await cw_pause(context_, drain_time + drain_extra);
        servers_.remove(leaving);
        store_.remove("servers", leaving->id());
        leaving->end();
        ++replaced_;
        // Its sessions end in the next turns.
        ended_.push_back(std::move(leaving));
    }

    net::awaitable<void> release() {
        while (is_releasing_) {
            std::vector<std::shared_ptr<server>> oldest;
            for (const auto& each : servers_) {
                if (!each->is_leaving() && oldest.size() < replaced_at_a_time) {
                    oldest.push_back(each);
                }
            }
            for (std::size_t i = 0; i < oldest.size(); ++i) {
                add_server();
            }
            co_await cw_pause(context_, release_gap / 2);
            for (const auto& each : oldest) {
                net::co_spawn(context_, drain(each), net::detached);
            }
            co_await cw_pause(context_, release_gap - release_gap / 2);
        }
    }

    /// A client that keeps its connection and sends further safe requests before the first has been
    /// answered; while it is calm, one after the other.
    net::awaitable<void> call() {
        while (true) {
            boost::beast::tcp_stream stream{context_};
            boost::beast::flat_buffer buffer;
            boost::system::error_code failure;
            stream.expires_after(1s);
            co_await stream.async_connect(loopback(listen_).tcp(), cw_redirect_error(failure));
            if (failure) {
                ++outcomes_["no connection"];
                co_await cw_pause(context_, 200ms);
                continue;
            }
            bool is_open = true;
            while (is_open) {
                is_open = co_await call_together(stream, buffer, is_pressing_ ? sent_together : 1);
            }
        }
    }

    /// Sends so many requests, and reads their answers. False when the connection is to be closed.
    net::awaitable<bool> call_together(boost::beast::tcp_stream& stream,
                                       boost::beast::flat_buffer& buffer, std::size_t number) {
        boost::system::error_code failure;
        stream.expires_after(time_limit + 1s);
        for (std::size_t i = 0; i < number && !failure; ++i) {
            const auto request =
                make_request("r" + std::to_string(++last_request_), time_limit, false);
            co_await http::async_write(stream, request, cw_redirect_error(failure));
        }
        bool is_open = !failure;
        bool was_refused = false;
        for (std::size_t i = 0; i < number && is_open; ++i) {
            cw_http_response answer;
            co_await http::async_read(stream, buffer, answer, cw_redirect_error(failure));
            is_open = !failure && answer.keep_alive();
            ++outcomes_[failure ? "no answer" : std::to_string(answer.result_int())];
            was_refused = was_refused || failure || answer.result_int() != 200;
        }
        stream.expires_never();
        if (was_refused || !is_pressing_) {
            co_await cw_pause(context_, 300ms);
        }
        co_return is_open;
    }

    /// One new client after the other, each with a new connection, which it keeps.
    net::awaitable<void> try_new_clients() {
        while (true) {
            net::co_spawn(context_, call_anew(tries_.size()), net::detached);
            co_await cw_pause(context_, 200ms);
        }
    }

    net::awaitable<void> call_anew(std::size_t number) {
        tries_.push_back({clock_type::now(), false});
        boost::beast::tcp_stream stream{context_};
        boost::beast::flat_buffer buffer;
        boost::system::error_code failure;
        const auto id = "new" + std::to_string(number);
        stream.expires_after(1s);
        co_await stream.async_connect(loopback(listen_).tcp(), cw_redirect_error(failure));
        outcome result;
        if (!failure) {
            result = co_await exchange(stream, buffer, make_request(id, stability_window, false),
                                       stability_window);
        }
        tries_[number].was_taken = result.status != 0;
        ++new_outcomes_[failure              ? "not established"
                        : result.status == 0 ? "no answer in 3 s"
                                             : "status " + std::to_string(result.status)];
        while (result.keeps_open) {
            co_await cw_pause(context_, 1s);
            result = co_await exchange(
                stream, buffer,
                make_request("n" + std::to_string(++last_request_), time_limit, false), time_limit);
        }
    }

    /// Spans of the stability window in which seven new clients or more tried, none was taken, and
    /// the machine said that it was ready.
    std::size_t count_broken_windows() {
        std::size_t broken = 0;
        for (const auto& first : tries_) {
            const auto end = first.at + stability_window;
            std::size_t tried = 0;
            bool was_taken = false;
            for (const auto& each : tries_) {
                if (each.at >= first.at && each.at < end) {
                    ++tried;
                    was_taken = was_taken || each.was_taken;
                }
            }
            const bool was_ready =
                std::none_of(not_ready_.begin(), not_ready_.end(),
                             [&](const auto& at) { return at >= first.at - 1s && at <= end + 1s; });
            const bool is_over = end + stability_window < clock_type::now();
            if (is_over && tried >= min_tries && !was_taken && was_ready) {
                if (broken == 0) {
                    record_.line(
                        "first such span begins " +
                        std::to_string(
                            std::chrono::duration<double>(clock_type::now() - first.at).count()) +
                        " s before this line, " + std::to_string(tried) + " tries");
                }
                ++broken;
            }
        }
        return broken;
    }

    /// The platform's readiness check: once a second, on a connection that is kept.
    net::awaitable<void> check_ready() {
        boost::beast::tcp_stream stream{context_};
        boost::beast::flat_buffer buffer;
        bool is_open = false;
        while (true) {
            boost::system::error_code failure;
            if (!is_open) {
                stream.expires_after(1s);
                co_await stream.async_connect(loopback(admin_).tcp(), cw_redirect_error(failure));
            }
            bool is_ready = false;
            is_open = !failure;
            if (is_open) {
                cw_http_request request{http::verb::get, "/readyz", 11};
                request.set(http::field::host, "127.0.0.1");
                const auto result = co_await exchange(stream, buffer, request, 1s);
                is_ready = result.status == 200;
                is_open = result.keeps_open;
            }
            if (!is_open) {
                stream.close();
            }
            if (!is_ready) {
                not_ready_.push_back(clock_type::now());
            }
            last_ready_ = is_ready;
            co_await cw_pause(context_, 1s);
        }
    }

    net::awaitable<void> act() {
        net::co_spawn(context_, check_ready(), net::detached);
        const auto ready_by = clock_type::now() + 15s;
        while (!last_ready_ && clock_type::now() < ready_by) {
            co_await cw_pause(context_, 100ms);
        }
        if (!last_ready_) {
            record_.line("the gateway did not become ready");
            code_ = 2;
            co_return;
        }
        not_ready_.clear();
        for (std::size_t i = 0; i < callers; ++i) {
            net::co_spawn(context_, call(), net::detached);
        }
        co_await cw_pause(context_, 3s);
        if (has_trouble_) {
            net::co_spawn(context_, release(), net::detached);
        }
        const auto until = clock_type::now() + release_length;
        while (clock_type::now() < until) {
            co_await cw_pause(context_, 5s);
            report();
        }
        // The release ends. What is drained leaves, and nothing is disrupted from then on.
        is_releasing_ = false;
        co_await cw_pause(context_, drain_time + 1s);
        is_pressing_ = false;
        co_await cw_pause(context_, stability_window);
        record_.line("calm: no release for " + std::to_string(stability_window.count()) +
                     " s and more; the clients keep their connections, and send little");
        net::co_spawn(context_, try_new_clients(), net::detached);
        co_await cw_pause(context_, calm_length);
        report();
        const auto broken = count_broken_windows();
        record_.line("new clients tried " + std::to_string(tries_.size()) + ", readiness checks " +
                     "without a 200: " + std::to_string(not_ready_.size()));
        record_.line("spans of 3 s in which none of " + std::to_string(min_tries) +
                     " or more new clients was taken, and the check was answered 200: " +
                     std::to_string(broken));
        record_.line(broken > 0 ? "BROKEN" : "HELD");
        std::cout << (broken > 0 ? "BROKEN " : "HELD ") << broken << std::endl;
        code_ = broken > 0 ? 1 : 0;
    }

    void report() {
        std::string text = "ready " + std::string{last_ready_ ? "yes" : "no"} + ", instances " +
                           std::to_string(servers_.size()) + ", replaced " +
                           std::to_string(replaced_) + ", answers:";
        for (const auto& [what, number] : outcomes_) {
            text += " " + what + " " + std::to_string(number);
        }
        text += "; new clients:";
        for (const auto& [what, number] : new_outcomes_) {
            text += " " + what + " " + std::to_string(number);
        }
        outcomes_.clear();
        new_outcomes_.clear();
        record_.line(text);
        record_.flush();
    }

    net::io_context context_{1};
    cw_platform_standin store_;
    std::uint16_t next_port_;
    std::uint16_t listen_;
    std::uint16_t admin_;
    bool has_trouble_;
    record record_;
    std::list<std::shared_ptr<server>> servers_;
    std::vector<std::shared_ptr<server>> ended_;
    std::uint64_t sequence_ = 0;
    std::size_t count_ = 0;
    std::size_t replaced_ = 0;
    std::uint64_t last_request_ = 0;
    std::map<std::string, std::size_t> outcomes_;
    struct client_try {
        clock_type::time_point at;
        bool was_taken;
    };
    std::vector<client_try> tries_;
    std::vector<clock_type::time_point> not_ready_;
    std::map<std::string, std::size_t> new_outcomes_;
    bool is_releasing_ = true;
    bool is_pressing_ = true;
    bool last_ready_ = false;
    int code_ = 2;
};

} // namespace

int main(int argc, char** argv) {
    if (argc < 6) {
        std::cerr << "usage: cw_review_release BASE-PORT LISTEN ADMIN TROUBLE RECORD\n";
        return 2;
    }
    const auto port = [&](int i) { return static_cast<std::uint16_t>(std::atoi(argv[i])); };
    try {
        world scene{port(1), port(2), port(3), std::string{argv[4]} != "0", argv[5]};
        return scene.run();
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}
