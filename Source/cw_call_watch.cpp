#include "cw_call_watch.h"

#include "cw_async.h"
#include "cw_caller_end.h"

namespace net = boost::asio;

/// What the caller's handler shares with the watch; it may run after the watch has ended.
struct cw_call_watch::state {
    net::ip::tcp::socket* upstream = nullptr;
    net::steady_timer* pause = nullptr;
    net::ip::tcp::socket* caller = nullptr;
    boost::beast::flat_buffer* ahead = nullptr;
    bool caller_left = false;
    bool over = false;

    /// Looks for the caller's end; true when there is one.
    bool look();
    static void listen(const std::shared_ptr<state>& known);

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

bool cw_call_watch::state::look() {
    if (!caller_left && cw_has_caller_left(*caller, *ahead)) {
        on_caller_left();
    }
    return caller_left;
}

/// Waits for bytes or the end of the caller's connection.
void cw_call_watch::state::listen(const std::shared_ptr<state>& known) {
    known->caller->async_wait(net::ip::tcp::socket::wait_read,
                              [known](const boost::system::error_code& failure) {
                                  if (known->over || failure) {
                                      return;
                                  }
                                  if (!known->look() && known->ahead->size() < cw_most_ahead) {
                                      listen(known);
                                  }
                              });
}

cw_call_watch::cw_call_watch(net::io_context& context, net::ip::tcp::socket& caller,
                             boost::beast::flat_buffer& ahead)
    : state_{std::make_shared<state>()},
      caller_{caller},
      alarm_{context},
      pause_{context} {
    state_->caller = &caller;
    state_->ahead = &ahead;
    state::listen(state_);
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
    co_await pause_.async_wait(cw_redirect_error(failure));
    state_->pause = nullptr;
}

void cw_call_watch::wake() {
    pause_.cancel();
}

bool cw_call_watch::look_whether_caller_left() {
    return state_->look();
}

bool cw_call_watch::has_caller_left() const {
    return state_->caller_left;
}
