#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <memory>

/// Other work of a thread: every turn of its event loop also burns the given processor time. Counts
/// the turns. Ends with this object, or with the event loop.
class cw_busy_loop {
public:
    cw_busy_loop(boost::asio::io_context& context, std::chrono::milliseconds work_per_turn)
        : state_{std::make_shared<state>(context, work_per_turn)} {
        post(state_);
    }
    ~cw_busy_loop() { state_->is_over = true; }
    cw_busy_loop(const cw_busy_loop&) = delete;
    cw_busy_loop& operator=(const cw_busy_loop&) = delete;

    [[nodiscard]] int turns() const { return state_->turns; }

private:
    struct state {
        state(boost::asio::io_context& busy_context, std::chrono::milliseconds work)
            : context{busy_context},
              work_per_turn{work} {}

        boost::asio::io_context& context;
        std::chrono::milliseconds work_per_turn;
        std::atomic<int> turns{0};
        std::atomic<bool> is_over{false};
    };

    static void post(const std::shared_ptr<state>& shared) {
        boost::asio::post(shared->context, [shared] {
            const auto until = std::chrono::steady_clock::now() + shared->work_per_turn;
            while (std::chrono::steady_clock::now() < until) {
            }
            ++shared->turns;
            if (!shared->is_over) {
                post(shared);
            }
        });
    }

    std::shared_ptr<state> state_;
};
