#include "cw_socket_timeout.h"

#include <cstdint>

namespace net = boost::asio;

struct cw_socket_timeout::state {
    net::ip::tcp::socket* socket = nullptr;
    /// Incremented by each set() and clear(), so that the handler of an earlier timer does nothing.
    std::uint64_t generation = 0;
    bool expired = false;
};

namespace {
void apply_action(net::ip::tcp::socket& socket, cw_timeout_action action) {
    boost::system::error_code ignored;
    if (action == cw_timeout_action::close) {
        socket.close(ignored);
        return;
    }
    socket.shutdown(net::ip::tcp::socket::shutdown_receive, ignored);
    socket.cancel(ignored);
}
} // namespace

cw_socket_timeout::cw_socket_timeout(net::io_context& context)
    : state_{std::make_shared<state>()},
      timer_{context} {}

cw_socket_timeout::~cw_socket_timeout() {
    clear();
}

void cw_socket_timeout::set(net::ip::tcp::socket& socket, cw_time_point deadline,
                            cw_timeout_action action) {
    state_->socket = &socket;
    state_->expired = false;
    const auto generation = ++state_->generation;
    timer_.expires_at(deadline);
    timer_.async_wait(
        [shared = state_, generation, action](const boost::system::error_code& failure) {
            if (!failure && shared->generation == generation) {
                shared->expired = true;
                apply_action(*shared->socket, action);
            }
        });
}

void cw_socket_timeout::clear() {
    ++state_->generation;
    state_->socket = nullptr;
    timer_.cancel();
}

bool cw_socket_timeout::has_expired() const {
    return state_->expired;
}
