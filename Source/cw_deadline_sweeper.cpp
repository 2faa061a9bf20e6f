#include "cw_deadline_sweeper.h"

#include "cw_async.h"
#include "cw_caller_disconnect.h"

namespace {

using namespace std::chrono_literals;

constexpr auto sweep_interval = 4ms;
/// Number of sweeps between two checks for callers that have left.
constexpr int sweeps_per_caller_check = 8;

} // namespace

boost::asio::awaitable<void> cw_deadline_sweeper::run() {
    for (int sweep = 1; !closed_; ++sweep) {
        timer_.expires_after(sweep_interval);
        boost::system::error_code failure;
        co_await timer_.async_wait(cw_redirect_error(failure));
        const auto now = std::chrono::steady_clock::now();
        for (auto& watched : sockets_) {
            if (now >= watched.deadline) {
                watched.socket->cancel(failure);
            }
        }
        if (sweep % sweeps_per_caller_check == 0) {
            cancel_abandoned();
        }
    }
}

void cw_deadline_sweeper::cancel_abandoned() {
    for (auto& watched : sockets_) {
        if (watched.caller != nullptr &&
            cw_has_caller_left(*watched.caller, *watched.caller_buffer)) {
            watched.caller = nullptr;
            watched.caller_left = true;
            boost::system::error_code ignored;
            watched.socket->cancel(ignored);
        }
    }
}

void cw_deadline_sweeper::close() {
    closed_ = true;
    for (auto& watched : sockets_) {
        boost::system::error_code ignored;
        watched.socket->close(ignored);
    }
}
