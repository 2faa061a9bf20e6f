#include "cw_liveness_probe.h"

#include "cw_address.h"
#include "cw_async.h"
#include "cw_socket_timeout.h"

namespace net = boost::asio;

namespace {
using namespace std::chrono_literals;
constexpr auto connect_timeout = 250ms;
/// Time that an exiting process may take between closing its first and its last connection.
constexpr auto exit_time = 150ms;
/// Number of reset probes after which the upstream is considered running.
constexpr int max_probes = 3;

enum class probe_result { refused, reset, open };

net::awaitable<probe_result> probe_listener(net::io_context& context,
                                            net::ip::tcp::endpoint endpoint) {
    net::ip::tcp::socket probe{context};
    cw_socket_timeout timeout{context};
    timeout.set(probe, std::chrono::steady_clock::now() + connect_timeout,
                cw_timeout_action::close);
    boost::system::error_code failure;
    co_await probe.async_connect(endpoint, cw_redirect_error(failure));
    if (failure == net::error::connection_refused) {
        co_return probe_result::refused;
    }
    if (failure) {
        // The listening socket of an exiting process resets the connections that it has not
        // accepted.
        co_return failure == net::error::connection_reset ? probe_result::reset
                                                          : probe_result::open;
    }
    // An exiting process closes its sockets one after another. The listening socket may be the last
    // and still accept the probe, which is then reset.
    timeout.set(probe, std::chrono::steady_clock::now() + exit_time, cw_timeout_action::close);
    co_await probe.async_wait(net::ip::tcp::socket::wait_read, cw_redirect_error(failure));
    co_return failure ? probe_result::open : probe_result::reset;
}
} // namespace

net::awaitable<bool> cw_is_down(net::io_context& context, std::string address) {
    const auto endpoint = cw_address::parse(address);
    if (!endpoint) {
        co_return false;
    }
    for (int i = 0; i < max_probes; ++i) {
        const auto result = co_await probe_listener(context, endpoint->tcp());
        if (result != probe_result::reset) {
            co_return result == probe_result::refused;
        }
        // An overloaded upstream may also reset connections; one that has exited refuses the next
        // one.
        co_await cw_pause(context, exit_time);
    }
    co_return false;
}
