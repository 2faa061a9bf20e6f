#include "cw_death_probe.h"

#include "cw_address.h"
#include "cw_async.h"
#include "cw_socket_alarm.h"

namespace net = boost::asio;

namespace {
using namespace std::chrono_literals;
constexpr auto connect_limit = 250ms;
/// Time that a dying process may take between the ends of its connections.
constexpr auto ending_time = 150ms;
} // namespace

net::awaitable<bool> cw_is_dead(net::io_context& context, std::string address) {
    const auto endpoint = cw_address::parse(address);
    if (!endpoint) {
        co_return false;
    }
    net::ip::tcp::socket probe{context};
    cw_socket_alarm alarm{context};
    alarm.set(probe, std::chrono::steady_clock::now() + connect_limit, cw_alarm_effect::close);
    boost::system::error_code failure;
    co_await probe.async_connect(endpoint->tcp(), cw_into(failure));
    if (failure) {
        // The listening socket of a process that is ending resets the connections it has not taken.
        co_return failure == net::error::connection_refused ||
            failure == net::error::connection_reset;
    }
    // A process that is ending closes its connections one after the other; its listening socket may
    // be the last and still take the probe, which is then reset.
    alarm.set(probe, std::chrono::steady_clock::now() + ending_time, cw_alarm_effect::close);
    co_await probe.async_wait(net::ip::tcp::socket::wait_read, cw_into(failure));
    co_return !failure;
}
