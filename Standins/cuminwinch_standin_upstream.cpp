/// cuminwinch-standin-upstream: a fake of a server that owns keys, for tests and demonstrations.

#include "cw_async.h"
#include "cw_settings.h"
#include "cw_upstream_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <exception>
#include <iostream>

namespace {

using namespace std::chrono_literals;
constexpr auto quiet_time = 1s;

boost::asio::awaitable<void> drain_and_stop(boost::asio::io_context& context,
                                            cw_upstream_standin& upstream) {
    upstream.begin_drain();
    boost::asio::steady_timer timer{context};
    auto drained_since = std::chrono::steady_clock::now();
    // A keeper on another host that does not know of the drain yet may still move a slice to this
    // server, which is then released again. So the server must stay drained for some time.
    while (std::chrono::steady_clock::now() < drained_since + quiet_time) {
        if (!upstream.is_drained()) {
            drained_since = std::chrono::steady_clock::now();
        }
        timer.expires_after(10ms);
        boost::system::error_code failure;
        co_await timer.async_wait(cw_redirect_error(failure));
    }
    context.stop();
}

} // namespace

int main(int argc, char** argv) {
    cw_settings settings{"cuminwinch-standin-upstream",
                         "Test stand-in for a server that owns keys."};
    settings.add_text("id", "Id in the platform's host list");
    settings.add_address("listen", "IP:PORT of the HTTP interface");
    settings.add_choice("keyed", "Whether keys have owners", {"true", "false"}, "true");
    settings.add_choice("checks-fences", "Whether leases with an old fence are rejected",
                        {"true", "false"}, "true");
    settings.add_number("slots", "Maximum number of concurrent requests", 1, 10'000, 3);
    settings.add_number("work-ms", "Execution time of one request", 0, 600'000, 2);
    settings.add_number("cold-ms",
                        "Time after the start during which requests run ten times as long", 0,
                        600'000, 0);
    settings.add_text("crash-word", "A request whose path contains this text crashes the process",
                      "(none)");
    if (const auto code = settings.parse(argc, argv)) {
        return *code;
    }
    cw_upstream_standin_options options;
    options.id = settings.text("id");
    options.listen = *cw_address::parse(settings.text("listen"));
    options.is_keyed = settings.text("keyed") == "true";
    options.checks_fences = settings.text("checks-fences") == "true";
    options.slots = static_cast<std::uint32_t>(settings.number("slots"));
    options.work_time = settings.milliseconds("work-ms");
    options.cold_time = settings.milliseconds("cold-ms");
    options.crash_substring =
        settings.text("crash-word") == "(none)" ? "" : settings.text("crash-word");
    try {
        boost::asio::io_context context{1};
        cw_upstream_standin upstream{context, options};
        upstream.start();
        boost::asio::signal_set signals{context, SIGTERM, SIGINT};
        signals.async_wait([&](const boost::system::error_code& failure, int) {
            if (!failure) {
                boost::asio::co_spawn(context, drain_and_stop(context, upstream),
                                      boost::asio::detached);
            }
        });
        context.run();
    } catch (const std::exception& failure) {
        std::cerr << "cuminwinch-standin-upstream: start: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
