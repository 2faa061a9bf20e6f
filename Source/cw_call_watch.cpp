#include "cw_call_watch.h"

#include "cw_async.h"

#include <sys/socket.h>

namespace net = boost::asio;

/// What the caller's handler shares with the watch; it may run after the watch has ended.
struct cw_call_watch::state {
    net::ip::tcp::socket* upstream = nullptr;
    net::steady_timer* pause = nullptr;
    net::ip::tcp::socket* caller = nullptr;
    boost::beast::flat_buffer* ahead = nullptr;
    bool caller_left = false;
    bool over = false;

    bool take_ahead();
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

namespace {
/// Bytes of later requests that are taken in while one is at work.
constexpr std::size_t most_ahead = 16'384;

bool has_ended(net::ip::tcp::socket& socket) {
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}
} // namespace

/// Takes in what the caller has sent; false when there is no room for it.
bool cw_call_watch::state::take_ahead() {
    if (ahead == nullptr || ahead->size() >= most_ahead) {
        return false;
    }
    boost::system::error_code failure;
    const auto room = ahead->prepare(most_ahead - ahead->size());
    ahead->commit(caller->read_some(room, failure));
    return !failure;
}

/// Waits for bytes or the end of the caller's connection.
void cw_call_watch::state::listen(const std::shared_ptr<state>& known) {
    known->caller->async_wait(net::ip::tcp::socket::wait_read,
                              [known](const boost::system::error_code& failure) {
                                  if (known->over || failure) {
                                      return;
                                  }
                                  if (has_ended(*known->caller)) {
                                      known->on_caller_left();
                                  } else if (known->take_ahead()) {
                                      listen(known);
                                  }
                              });
}

cw_call_watch::cw_call_watch(net::io_context& context, net::ip::tcp::socket& caller,
                             boost::beast::flat_buffer* ahead)
    : state_{std::make_shared<state>()},
      caller_{caller},
      alarm_{context},
      pause_{context} {
    state_->caller = &caller;
    state_->ahead = ahead;
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
