#include "cw_liveness_probe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <exception>
#include <string>

namespace net = boost::asio;

namespace {

/// A listening socket and a probe of it, on an io_context that the test runs step by step.
struct probed_listener {
    probed_listener() { address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }

    void begin_probe() {
        net::co_spawn(context, cw_is_down(context, address),
                      [this](const std::exception_ptr&, bool down) { is_down = down; });
        context.poll_one();
    }

    net::io_context context;
    net::ip::tcp::acceptor acceptor{context, {net::ip::address_v4::loopback(), 0}};
    std::string address;
    bool is_down = false;
};

} // namespace

TEST_CASE_FIXTURE(probed_listener, "probe_of_upstream_that_listens_finds_it_alive") {
    begin_probe();
    context.run();
    CHECK_FALSE(is_down);
}

TEST_CASE_FIXTURE(probed_listener, "probe_of_address_without_listener_finds_it_dead") {
    acceptor.close();
    begin_probe();
    context.run();
    CHECK(is_down);
}

TEST_CASE_FIXTURE(probed_listener, "probe_reset_by_an_ending_listener_finds_it_dead") {
    begin_probe();
    acceptor.close();
    context.run();
    CHECK(is_down);
}

TEST_CASE_FIXTURE(probed_listener, "probes_reset_by_an_upstream_that_is_full_find_it_alive") {
    int accepted = 0;
    net::co_spawn(
        context,
        [this, &accepted]() -> net::awaitable<void> {
            while (accepted < 3) {
                auto caller = co_await acceptor.async_accept(net::use_awaitable);
                ++accepted;
                caller.set_option(net::socket_base::linger{true, 0});
                caller.close();
            }
        },
        net::detached);
    begin_probe();
    context.run_for(std::chrono::seconds{2});
    CHECK(accepted == 3);
    CHECK_FALSE(is_down);
}
