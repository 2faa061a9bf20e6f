#include "cw_deadline_sweeper.h"

#include "cw_async.h"
#include "cw_caller_end.h"

namespace {

using namespace std::chrono_literals;

constexpr auto sweep_interval = 4ms;
/// Sweeps between two looks at the callers of requests that still wait.
constexpr int sweeps_per_look = 8;

} // namespace

boost::asio::awaitable<void> cw_deadline_sweeper::run() {
    for (int sweep = 1; !closed_; ++sweep) {
        timer_.expires_after(sweep_interval);
        boost::system::error_code failure;
        co_await timer_.async_wait(cw_redirect_error(failure));
        const auto now = std::chrono::steady_clock::now();
        for (auto& waiting : entries_) {
            if (now >= waiting.deadline) {
                waiting.socket->cancel(failure);
            }
        }
        if (sweep % sweeps_per_look == 0) {
            look_after_callers();
        }
    }
}

void cw_deadline_sweeper::look_after_callers() {
    for (auto& waiting : entries_) {
        if (waiting.caller != nullptr && cw_has_caller_left(*waiting.caller, *waiting.ahead)) {
            waiting.caller = nullptr;
            waiting.caller_left = true;
            boost::system::error_code ignored;
            waiting.socket->cancel(ignored);
        }
    }
}

void cw_deadline_sweeper::close() {
    closed_ = true;
    for (auto& waiting : entries_) {
        boost::system::error_code ignored;
        waiting.socket->close(ignored);
    }
}
