#include "cw_deadline_sweeper.h"

#include "cw_async.h"

namespace {
using namespace std::chrono_literals;
constexpr auto sweep_interval = 4ms;
} // namespace

boost::asio::awaitable<void> cw_deadline_sweeper::run() {
    while (!closed_) {
        timer_.expires_after(sweep_interval);
        boost::system::error_code failure;
        co_await timer_.async_wait(cw_into(failure));
        const auto now = std::chrono::steady_clock::now();
        for (auto& waiting : entries_) {
            if (now >= waiting.deadline) {
                waiting.fired = true;
                waiting.socket->cancel(failure);
            }
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
