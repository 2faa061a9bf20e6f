#include "cw_call_watch.h"

#include "cw_async.h"
#include "cw_caller_disconnect.h"

namespace net = boost::asio;

/// State shared with the handler of the caller's socket, which may run after the watch is
/// destroyed.
struct cw_call_watch::state {
    net::ip::tcp::socket* upstream = nullptr;
    net::steady_timer* sleep_timer = nullptr;
    net::ip::tcp::socket* caller = nullptr;
    boost::beast::flat_buffer* caller_buffer = nullptr;
    bool caller_left = false;
    bool is_destroyed = false;

    /// Polls the caller's socket; true when the caller has left.
    bool poll();
    static void wait_for_input(const std::shared_ptr<state>& shared);

    void on_caller_left() {
        caller_left = true;
        boost::system::error_code ignored;
        if (upstream != nullptr) {
            upstream->close(ignored);
        }
        if (sleep_timer != nullptr) {
            sleep_timer->cancel();
        }
    }
};

bool cw_call_watch::state::poll() {
    if (!caller_left && cw_has_caller_left(*caller, *caller_buffer)) {
        on_caller_left();
    }
    return caller_left;
}

/// Waits until the caller sends bytes or closes the connection.
void cw_call_watch::state::wait_for_input(const std::shared_ptr<state>& shared) {
    shared->caller->async_wait(
        net::ip::tcp::socket::wait_read, [shared](const boost::system::error_code& failure) {
            if (shared->is_destroyed || failure) {
                return;
            }
            if (!shared->poll() && shared->caller_buffer->size() < cw_max_pipelined_bytes) {
                wait_for_input(shared);
            }
        });
}

cw_call_watch::cw_call_watch(net::io_context& context, net::ip::tcp::socket& caller,
                             boost::beast::flat_buffer& caller_buffer)
    : state_{std::make_shared<state>()},
      caller_{caller},
      timeout_{context},
      sleep_timer_{context} {
    state_->caller = &caller;
    state_->caller_buffer = &caller_buffer;
    state::wait_for_input(state_);
}

cw_call_watch::~cw_call_watch() {
    state_->is_destroyed = true;
    boost::system::error_code ignored;
    caller_.cancel(ignored);
}

void cw_call_watch::watch_socket(net::ip::tcp::socket& upstream, cw_time_point deadline) {
    state_->upstream = &upstream;
    timeout_.set(upstream, deadline, cw_timeout_action::close);
}

void cw_call_watch::unwatch_socket() {
    state_->upstream = nullptr;
    timeout_.clear();
}

net::awaitable<void> cw_call_watch::sleep_until(cw_time_point until) {
    if (state_->caller_left) {
        co_return;
    }
    sleep_timer_.expires_at(until);
    state_->sleep_timer = &sleep_timer_;
    boost::system::error_code failure;
    co_await sleep_timer_.async_wait(cw_redirect_error(failure));
    state_->sleep_timer = nullptr;
}

void cw_call_watch::wake() {
    sleep_timer_.cancel();
}

bool cw_call_watch::poll_caller_left() {
    return state_->poll();
}

bool cw_call_watch::has_caller_left() const {
    return state_->caller_left;
}
