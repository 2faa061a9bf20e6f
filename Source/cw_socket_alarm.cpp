#include "cw_socket_alarm.h"

#include <cstdint>

namespace net = boost::asio;

struct cw_socket_alarm::state {
    net::ip::tcp::socket* socket = nullptr;
    /// Number of the present setting; a handler of an earlier one does nothing.
    std::uint64_t number = 0;
    bool gone_off = false;
};

namespace {
void end(net::ip::tcp::socket& socket, cw_alarm_effect effect) {
    boost::system::error_code ignored;
    if (effect == cw_alarm_effect::close) {
        socket.close(ignored);
        return;
    }
    socket.shutdown(net::ip::tcp::socket::shutdown_receive, ignored);
    socket.cancel(ignored);
}
} // namespace

cw_socket_alarm::cw_socket_alarm(net::io_context& context)
    : state_{std::make_shared<state>()},
      timer_{context} {}

cw_socket_alarm::~cw_socket_alarm() {
    clear();
}

void cw_socket_alarm::set(net::ip::tcp::socket& socket, cw_time_point deadline,
                          cw_alarm_effect effect) {
    state_->socket = &socket;
    state_->gone_off = false;
    const auto number = ++state_->number;
    timer_.expires_at(deadline);
    timer_.async_wait([known = state_, number, effect](const boost::system::error_code& failure) {
        if (!failure && known->number == number) {
            known->gone_off = true;
            end(*known->socket, effect);
        }
    });
}

void cw_socket_alarm::clear() {
    ++state_->number;
    state_->socket = nullptr;
    timer_.cancel();
}

bool cw_socket_alarm::has_gone_off() const {
    return state_->gone_off;
}
