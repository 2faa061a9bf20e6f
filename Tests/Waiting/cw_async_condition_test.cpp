#include "cw_async_condition.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

/// Coroutines that wait until a flag is set or their time has come.
struct waiting_coroutines {
    boost::asio::io_context context{1};
    cw_async_condition condition{context};
    bool is_set = false;
    int woken = 0;
    int ended = 0;

    void start(int count, std::chrono::milliseconds patience) {
        for (int i = 0; i < count; ++i) {
            boost::asio::co_spawn(context, wait_for_flag(patience), boost::asio::detached);
        }
    }

private:
    boost::asio::awaitable<void> wait_for_flag(std::chrono::milliseconds patience) {
        const auto until = std::chrono::steady_clock::now() + patience;
        while (!is_set && std::chrono::steady_clock::now() < until) {
            co_await condition.wait(until);
            ++woken;
        }
        ++ended;
    }
};

} // namespace

TEST_CASE_FIXTURE(waiting_coroutines, "waiters_without_news_wake_once_at_their_time") {
    start(3, 60ms);
    start(3, 120ms);
    context.run_for(2s);
    CHECK(ended == 6);
    CHECK(woken == 6);
}

TEST_CASE_FIXTURE(waiting_coroutines, "all_waiters_wake_when_notified") {
    start(4, 30s);
    context.run_for(20ms);
    CHECK(ended == 0);
    is_set = true;
    condition.notify_all();
    context.run_for(2s);
    CHECK(ended == 4);
    CHECK(woken == 4);
}
