#include "cw_caller_watch.h"

#include "cw_call_watch.h"
#include "cw_caller_disconnect.h"

#include <utility>

namespace net = boost::asio;

cw_caller_watch::cw_caller_watch(net::ip::tcp::socket& caller, boost::beast::flat_buffer& buffer)
    : caller_{caller},
      buffer_{buffer} {}

void cw_caller_watch::start(std::function<void()> on_input) {
    on_input_ = std::move(on_input);
    wait_for_input();
}

void cw_caller_watch::resume() {
    const bool has_room = buffer_.size() < cw_max_pipelined_bytes;
    if (!is_stopped_ && !is_waiting_ && !has_ended() && has_room) {
        wait_for_input();
    }
}

void cw_caller_watch::stop() {
    is_stopped_ = true;
    on_input_ = nullptr;
    boost::system::error_code ignored;
    caller_.cancel(ignored);
}

void cw_caller_watch::cancel_calls() {
    if (!has_ended()) {
        is_cancelled_ = true;
        end_calls();
    }
}

bool cw_caller_watch::poll() {
    if (is_stopped_ || has_ended()) {
        return has_ended();
    }
    const auto known_bytes = buffer_.size();
    has_caller_left_ = cw_has_caller_left(caller_, buffer_);
    if (has_caller_left_) {
        end_calls();
    } else if (buffer_.size() != known_bytes && on_input_) {
        on_input_();
    }
    return has_ended();
}

void cw_caller_watch::wait_for_input() {
    is_waiting_ = true;
    caller_.async_wait(net::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& failure) {
                           self->is_waiting_ = false;
                           if (!self->is_stopped_ && !failure && !self->poll()) {
                               self->resume();
                           }
                       });
}

void cw_caller_watch::end_calls() {
    for (auto* call : calls_) {
        call->end();
    }
}
