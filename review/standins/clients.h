#pragma once

#include "http.h"

#include <fstream>
#include <memory>
#include <vector>

using steady = std::chrono::steady_clock;

/// One attempt of a client.
struct attempt {
    std::string id;
    /// Milliseconds since the start of the stand-ins.
    std::int64_t sent_ms = 0;
    std::int64_t ended_ms = 0;
    int gateway = -1;
    /// 0 if there was no answer, -1 if no connection was accepted in time.
    int status = 0;
    bool served = false;
};

/// Ports of one gateway, and whether the platform sends it new connections.
struct gateway_address {
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::atomic<bool> in_rotation{false};
    std::atomic<int> misses{0};
};

/// What a client sends, and how.
struct client_habit {
    std::string method;
    std::string host;
    std::string path;
    std::chrono::milliseconds time_limit;
    /// Pause between the end of a request and the next one.
    std::chrono::milliseconds pause;
    /// False for a client that opens a connection for each request.
    bool keeps_connection = true;
};

/// The platform's entry and the clients behind it: readiness questions once a second, and clients
/// that send requests to the gateways in rotation.
class client_group {
public:
    explicit client_group(const std::vector<std::pair<std::uint16_t, std::uint16_t>>& ports) {
        for (const auto& [front, ready] : ports) {
            auto& gateway = gateways_.emplace_back(std::make_unique<gateway_address>());
            gateway->front = front;
            gateway->ready = ready;
        }
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            std::thread{[this, i] { ask_ready(*gateways_[i]); }}.detach();
        }
    }

    [[nodiscard]] std::int64_t now_ms() const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - begin_)
            .count();
    }

    [[nodiscard]] bool all_ready() const {
        for (const auto& gateway : gateways_) {
            if (!gateway->in_rotation) {
                return false;
            }
        }
        return true;
    }
    /// Starts a client that sends a request, waits for its end, pauses and sends the next.
    void start_client(int number, const client_habit& habit) {
        std::thread{[this, number, habit] { run_client(number, habit); }}.detach();
    }

    [[nodiscard]] std::vector<attempt> attempts() {
        const std::scoped_lock lock{mutex_};
        return attempts_;
    }

    void stop() { is_stopped_ = true; }

private:
    void ask_ready(gateway_address& gateway) {
        http_connection connection;
        while (true) {
            const auto next = steady::now() + std::chrono::seconds{1};
            const bool connected =
                connection.is_open() ||
                connection.connect(gateway.ready, std::chrono::milliseconds{500});
            int status = 0;
            if (connected) {
                const auto answer =
                    connection.exchange({"GET /readyz HTTP/1.1", {{"Host", "gateway"}}, {}}, next);
                status = answer ? answer->status() : 0;
            }
            gateway.misses = status == 200 ? 0 : gateway.misses + 1;
            gateway.in_rotation = status == 200 || (gateway.in_rotation && gateway.misses < 2);
            std::this_thread::sleep_until(next);
        }
    }

    /// A gateway in rotation; any if there is none.
    int choose_gateway(std::uint64_t number) {
        const auto count = gateways_.size();
        for (std::size_t i = 0; i < count; ++i) {
            const auto index = (number + i) % count;
            if (gateways_[index]->in_rotation) {
                return static_cast<int>(index);
            }
        }
        return static_cast<int>(number % count);
    }

    void run_client(int number, const client_habit& habit) {
        http_connection connection;
        int gateway = -1;
        std::uint64_t count = 0;
        while (!is_stopped_) {
            ++count;
            attempt made;
            made.id = "c" + std::to_string(number) + "-" + std::to_string(count);
            made.sent_ms = now_ms();
            const auto until = steady::now() + habit.time_limit;
            if (!connection.is_open()) {
                gateway = choose_gateway(static_cast<std::uint64_t>(number) + count);
                connection.connect(gateways_[static_cast<std::size_t>(gateway)]->front,
                                   std::chrono::seconds{1});
            }
            made.gateway = gateway;
            if (!connection.is_open()) {
                made.status = -1;
            } else if (const auto answer = connection.exchange(request(habit, made.id), until)) {
                made.status = answer->status();
                made.served = made.status == 200 &&
                              !answer->header("X-Cuminwinch-Response-Signature").empty() &&
                              answer->body.ends_with(" ran " + made.id);
            }
            made.ended_ms = now_ms();
            if (!habit.keeps_connection) {
                connection.close();
            }
            {
                const std::scoped_lock lock{mutex_};
                attempts_.push_back(made);
            }
            std::this_thread::sleep_for(habit.pause);
        }
    }

    static http_message request(const client_habit& habit, const std::string& id) {
        http_message message;
        message.first_line = habit.method + " " + habit.path + id + " HTTP/1.1";
        message.headers["Host"] = habit.host;
        message.headers["X-Cuminwinch-Attempt-Id"] = id;
        message.headers["X-Cuminwinch-Request-Timeout-Ms"] =
            std::to_string(habit.time_limit.count());
        if (habit.method == "POST") {
            message.body = "order " + id;
        }
        return message;
    }

    steady::time_point begin_ = steady::now();
    std::vector<std::unique_ptr<gateway_address>> gateways_;
    std::atomic<bool> is_stopped_{false};
    std::mutex mutex_;
    std::vector<attempt> attempts_;
};

/// Writes each attempt: its id, when it was sent and ended, the gateway, the status.
inline void write_attempts(std::ostream& record, const std::vector<attempt>& attempts) {
    for (const auto& item : attempts) {
        record << item.sent_ms << " ms " << item.id << " gateway " << item.gateway << " ended "
               << item.ended_ms << " status " << item.status << (item.served ? " served" : "")
               << '\n';
    }
}
