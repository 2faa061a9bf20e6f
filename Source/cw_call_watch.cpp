#include "cw_call_watch.h"

#include "cw_async.h"

#include <sys/socket.h>

namespace net = boost::asio;

/// What the caller's handler shares with the watch; it may run after the watch has ended.
struct cw_call_watch::state {
    net::ip::tcp::socket* upstream = nullptr;
    net::steady_timer* pause = nullptr;
    bool caller_left = false;
    bool over = false;

    void on_caller_left() {
        caller_left = true;
        boost::system::error_code ignored;
        if (upstream != nullptr) {
            upstream->close(ignored);
        }
        if (pause != nullptr) {
            pause->cancel();
        }
    }
};

namespace {
bool has_ended(net::ip::tcp::socket& socket) {
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}
} // namespace

cw_call_watch::cw_call_watch(net::io_context& context, net::ip::tcp::socket& caller)
    : state_{std::make_shared<state>()},
      caller_{caller},
      alarm_{context},
      pause_{context} {
    caller_.async_wait(net::ip::tcp::socket::wait_read,
                       [known = state_, &caller](const boost::system::error_code& failure) {
                           if (!known->over && !failure && has_ended(caller)) {
                               known->on_caller_left();
                           }
                       });
}

cw_call_watch::~cw_call_watch() {
    state_->over = true;
    boost::system::error_code ignored;
    caller_.cancel(ignored);
}

void cw_call_watch::guard(net::ip::tcp::socket& upstream, cw_time_point deadline) {
    state_->upstream = &upstream;
    alarm_.set(upstream, deadline, cw_alarm_effect::close);
}

void cw_call_watch::release() {
    state_->upstream = nullptr;
    alarm_.clear();
}

net::awaitable<void> cw_call_watch::pause_until(cw_time_point until) {
    if (state_->caller_left) {
        co_return;
    }
    pause_.expires_at(until);
    state_->pause = &pause_;
    boost::system::error_code failure;
    co_await pause_.async_wait(cw_into(failure));
    state_->pause = nullptr;
}

void cw_call_watch::wake() {
    pause_.cancel();
}

bool cw_call_watch::look_whether_caller_left() {
    if (!state_->caller_left && has_ended(caller_)) {
        state_->on_caller_left();
    }
    return state_->caller_left;
}

bool cw_call_watch::has_caller_left() const {
    return state_->caller_left;
}
