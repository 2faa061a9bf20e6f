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
/// Connections after which an upstream that takes and resets each of them counts as alive.
constexpr int most_probes = 3;

enum class probe_end { refused, reset, open };

net::awaitable<probe_end> probe_once(net::io_context& context, net::ip::tcp::endpoint endpoint) {
    net::ip::tcp::socket probe{context};
    cw_socket_alarm alarm{context};
    alarm.set(probe, std::chrono::steady_clock::now() + connect_limit, cw_alarm_effect::close);
    boost::system::error_code failure;
    co_await probe.async_connect(endpoint, cw_redirect_error(failure));
    if (failure == net::error::connection_refused) {
        co_return probe_end::refused;
    }
    if (failure) {
        // The listening socket of a process that is ending resets the connections it has not taken.
        co_return failure == net::error::connection_reset ? probe_end::reset : probe_end::open;
    }
    // A process that is ending closes its connections one after the other; its listening socket may
    // be the last and still take the probe, which is then reset.
    alarm.set(probe, std::chrono::steady_clock::now() + ending_time, cw_alarm_effect::close);
    co_await probe.async_wait(net::ip::tcp::socket::wait_read, cw_redirect_error(failure));
    co_return failure ? probe_end::open : probe_end::reset;
}
} // namespace

net::awaitable<bool> cw_is_dead(net::io_context& context, std::string address) {
    const auto endpoint = cw_address::parse(address);
    if (!endpoint) {
        co_return false;
    }
    for (int i = 0; i < most_probes; ++i) {
        const auto end = co_await probe_once(context, endpoint->tcp());
        if (end != probe_end::reset) {
            co_return end == probe_end::refused;
        }
        // An upstream that is full may reset connections as well; one that has ended refuses the
        // next.
        co_await cw_pause(context, ending_time);
    }
    co_return false;
}
