#include "cw_call_watch.h"

#include "cw_async.h"

#include <utility>

namespace net = boost::asio;

cw_call_watch::cw_call_watch(net::io_context& context, std::shared_ptr<cw_caller_watch> caller)
    : caller_{std::move(caller)},
      position_{caller_->calls_.insert(caller_->calls_.end(), this)},
      timeout_{context},
      sleep_timer_{context} {}

cw_call_watch::~cw_call_watch() {
    caller_->calls_.erase(position_);
}

void cw_call_watch::watch_socket(net::ip::tcp::socket& upstream, cw_time_point deadline) {
    upstream_ = &upstream;
    timeout_.set(upstream, deadline, cw_timeout_action::close);
}

void cw_call_watch::unwatch_socket() {
    upstream_ = nullptr;
    timeout_.clear();
}

net::awaitable<void> cw_call_watch::sleep_until(cw_time_point until) {
    if (has_caller_left()) {
        co_return;
    }
    sleep_timer_.expires_at(until);
    boost::system::error_code failure;
    co_await sleep_timer_.async_wait(cw_redirect_error(failure));
}

void cw_call_watch::wake() {
    sleep_timer_.cancel();
}

void cw_call_watch::end() {
    boost::system::error_code ignored;
    if (upstream_ != nullptr) {
        upstream_->close(ignored);
    }
    sleep_timer_.cancel();
}
