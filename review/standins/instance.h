#pragma once

#include "http.h"

#include <condition_variable>
#include <memory>
#include <random>

/// What a client's request id went through, written to the record at the end.
struct run_record {
    std::mutex mutex;
    /// Runs by request id.
    std::map<std::string, int> runs;
};

/// An instance of a service without keys: it runs requests in `slots` slots and rejects what its
/// queue does not take.
class instance {
public:
    instance(std::string id, int slots, int queue, std::chrono::milliseconds work,
             run_record& record)
        : id_{std::move(id)},
          slots_{slots},
          queue_{queue},
          work_{work},
          record_{record},
          server_{std::make_unique<http_server>(
              [this](const http_message& request) { return serve(request); }, 0,
              std::chrono::seconds{10})} {}

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::uint16_t port() const { return server_->port(); }
    /// Text of its entry in the store.
    [[nodiscard]] std::string entry(const std::string& service, const std::string& state) const {
        return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port()) +
               R"(","zone":"z1","version":"1","slots":)" + std::to_string(slots_) +
               R"(,"state":")" + state + R"(","coldRemainingS":0,"sequence":1,"born":)" +
               std::to_string(born_) + "}";
    }
    /// From now on all answers say that the instance leaves, and close their connection.
    void leave() { is_leaving_ = true; }
    /// Ends as a process does.
    void stop() { server_->close(); }

private:
    http_message serve(const http_message& request) {
        auto answer = run(request);
        answer.headers["X-Cuminwinch-Instance-Id"] = id_;
        {
            const std::scoped_lock lock{mutex_};
            answer.headers["X-Cuminwinch-Instance-Load"] = std::to_string(running_) + "," +
                                                           std::to_string(waiting_) + "," +
                                                           std::to_string(slots_);
        }
        if (is_leaving_) {
            answer.headers["Server-Leaving"] = "1";
            answer.headers["Connection"] = "close";
        } else {
            answer.headers["Keep-Alive"] = "timeout=10";
        }
        return answer;
    }

    http_message run(const http_message& request) {
        if (request.target() == "/healthz") {
            return make_answer(is_leaving_ ? 503 : 200);
        }
        const auto id = request.header("X-Cuminwinch-Attempt-Id");
        const auto expected = request.header("X-Cuminwinch-Expected-Instance");
        if (!expected.empty() && expected != id_) {
            return reject(421, id);
        }
        {
            std::unique_lock lock{mutex_};
            if (running_ >= slots_ && waiting_ >= queue_) {
                return reject(503, id);
            }
            ++waiting_;
            freed_.wait(lock, [&] { return running_ < slots_; });
            --waiting_;
            ++running_;
        }
        {
            const std::scoped_lock lock{record_.mutex};
            ++record_.runs[id];
        }
        std::this_thread::sleep_for(work_time());
        {
            const std::scoped_lock lock{mutex_};
            --running_;
        }
        freed_.notify_one();
        auto answer = make_answer(200, id_ + " ran " + id);
        answer.headers["X-Cuminwinch-Attempt-Id"] = id;
        answer.headers["X-Cuminwinch-Response-Signature"] = "signed";
        return answer;
    }

    /// From 0.4 to 1.6 of the mean, and five times the mean for one request in a hundred.
    std::chrono::milliseconds work_time() {
        const std::scoped_lock lock{mutex_};
        const auto percent = engine_() % 100 == 0 ? 500 : 40 + engine_() % 121;
        return work_ * static_cast<int>(percent) / 100;
    }

    static http_message reject(int status, const std::string& id) {
        auto answer = make_answer(status);
        answer.headers["X-Cuminwinch-Not-Executed"] = "1";
        answer.headers["X-Cuminwinch-Attempt-Id"] = id;
        return answer;
    }

    std::string id_;
    int slots_;
    int queue_;
    std::chrono::milliseconds work_;
    run_record& record_;
    std::int64_t born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    std::atomic<bool> is_leaving_{false};
    std::mutex mutex_;
    std::condition_variable freed_;
    std::minstd_rand engine_{std::random_device{}()};
    int running_ = 0;
    int waiting_ = 0;
    std::unique_ptr<http_server> server_;
};
