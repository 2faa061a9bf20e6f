#pragma once

#include "store.h"

#include <algorithm>
#include <deque>
#include <vector>

namespace review {

/// What the instances of a service have in common.
struct service_shape {
    std::string name;
    std::size_t slots = 6;
    std::size_t queue = 24;
    milliseconds work{160};
    milliseconds idle_close{10'000};
};

/// An instance of a service without keys. It works on `slots` requests at once, queues a few more,
/// and rejects those beyond. Its end closes all its connections.
class instance : public std::enable_shared_from_this<instance> {
public:
    instance(net::io_context& context, store& objects, const service_shape& shape, std::string id,
             std::string zone, std::uint16_t port)
        : context_{context},
          objects_{objects},
          shape_{shape},
          id_{std::move(id)},
          zone_{std::move(zone)},
          port_{port},
          born_{std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()} {}

    /// Called for each request that it begins to run, with the request's id.
    std::function<void(const std::string&)> on_run = [](const std::string&) {};

    void start() {
        server_ = std::make_shared<server>(context_, loopback(port_),
                                           [self = shared_from_this()](request message) {
                                               return self->serve(std::move(message));
                                           });
        server_->set_idle_time(shape_.idle_close);
        server_->start();
        announce("ready");
    }

    /// Writes its entry in the store.
    void announce(const std::string& state) {
        is_leaving_ = state == "draining";
        objects_.put("servers", id_,
                     {{"service", shape_.name},
                      {"address", "127.0.0.1:" + std::to_string(port_)},
                      {"zone", zone_},
                      {"version", "v1"},
                      {"slots", shape_.slots},
                      {"state", state},
                      {"coldRemainingS", 0},
                      {"sequence", ++sequence_},
                      {"born", born_}});
    }

    /// A heartbeat.
    void beat() { announce(is_leaving_ ? "draining" : "ready"); }

    /// Leaves the store and ends; all its connections close.
    void end() {
        objects_.remove("servers", id_);
        server_->end();
    }

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::uint64_t runs() const { return runs_; }

private:
    response answer_to(const request& message, unsigned status, std::string body) const {
        auto answer = make_response(status, std::move(body), "text/plain");
        answer.set("X-Cuminwinch-Attempt-Id", message["X-Cuminwinch-Attempt-Id"]);
        answer.set("X-Cuminwinch-Instance-Load", std::to_string(running_) + "," +
                                                     std::to_string(waiting_.size()) + "," +
                                                     std::to_string(shape_.slots));
        answer.set("Keep-Alive",
                   "timeout=" + std::to_string(shape_.idle_close / std::chrono::seconds{1}));
        answer.keep_alive(!is_leaving_);
        return answer;
    }

    response rejection_of(const request& message, unsigned status) const {
        auto answer = answer_to(message, status, "not run");
        answer.set("X-Cuminwinch-Not-Executed", "1");
        return answer;
    }

    task<std::optional<response>> serve(request message) {
        const auto expected = message["X-Cuminwinch-Expected-Instance"];
        if (!expected.empty() && expected != id_) {
            co_return rejection_of(message, 421);
        }
        if (message["X-Cuminwinch-Attempt-Id"].empty()) {
            co_return rejection_of(message, 400);
        }
        if (running_ >= shape_.slots) {
            if (waiting_.size() >= shape_.queue) {
                co_return rejection_of(message, 503);
            }
            net::steady_timer turn{context_, steady::time_point::max()};
            waiting_.push_back(&turn);
            boost::system::error_code ignored;
            co_await turn.async_wait(into(ignored));
        } else {
            ++running_;
        }
        ++runs_;
        const std::string id{message["X-Cuminwinch-Attempt-Id"]};
        on_run(id);
        co_await pause(context_, shape_.work);
        if (waiting_.empty()) {
            --running_;
        } else {
            // The slot passes to the next one.
            waiting_.front()->cancel();
            waiting_.pop_front();
        }
        auto answer = answer_to(message, 200, id_ + " ran " + id + "\n");
        answer.set("X-Cuminwinch-Response-Signature", "signed-by-" + id_);
        co_return answer;
    }

    net::io_context& context_;
    store& objects_;
    service_shape shape_;
    std::string id_;
    std::string zone_;
    std::uint16_t port_;
    std::int64_t born_;
    std::uint64_t sequence_ = 0;
    std::uint64_t runs_ = 0;
    std::size_t running_ = 0;
    std::deque<net::steady_timer*> waiting_;
    bool is_leaving_ = false;
    std::shared_ptr<server> server_;
};

} // namespace review
