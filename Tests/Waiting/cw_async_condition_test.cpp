#include "cw_async_condition.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

/// Coroutines that wait until a flag is set or their deadline passes.
struct waiting_coroutines {
    boost::asio::io_context context{1};
    cw_async_condition condition{context};
    bool is_set = false;
    int wakeups = 0;
    int finished = 0;

    void start_waiters(int count, std::chrono::milliseconds timeout) {
        for (int i = 0; i < count; ++i) {
            boost::asio::co_spawn(context, wait_for_flag(timeout), boost::asio::detached);
        }
    }

private:
    boost::asio::awaitable<void> wait_for_flag(std::chrono::milliseconds timeout) {
        const auto until = std::chrono::steady_clock::now() + timeout;
        while (!is_set && std::chrono::steady_clock::now() < until) {
            co_await condition.wait(until);
            ++wakeups;
        }
        ++finished;
    }
};

} // namespace

TEST_CASE_FIXTURE(waiting_coroutines,
                  "waiters_without_a_notification_wake_once_at_their_deadline") {
    start_waiters(3, 60ms);
    start_waiters(3, 120ms);
    context.run_for(2s);
    CHECK(finished == 6);
    CHECK(wakeups == 6);
}

TEST_CASE_FIXTURE(waiting_coroutines, "notify_all_wakes_all_waiters") {
    start_waiters(4, 30s);
    context.run_for(20ms);
    CHECK(finished == 0);
    is_set = true;
    condition.notify_all();
    context.run_for(2s);
    CHECK(finished == 4);
    CHECK(wakeups == 4);
}
