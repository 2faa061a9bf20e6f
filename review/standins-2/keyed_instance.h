#pragma once

#include "instance.h"

namespace review {

/// Keeps, over all instances of a service, which of them held which key with which fence, and
/// judges the rule OWNER.
class owner_judge {
public:
    static constexpr std::uint32_t keys = 65'536;

    using report = std::function<void(const std::string&)>;

    explicit owner_judge(report note)
        : note_{std::move(note)},
          fences_(keys) {}

    /// An instance takes keys. `counts` is false within `thawSlackS` of a heal.
    void on_taken(const std::string& id, std::uint32_t first, std::uint32_t last,
                  std::uint64_t fence, bool counts) {
        for (auto key = first; key <= last; ++key) {
            auto& known = fences_[key];
            if (counts && fence <= known.highest && known.holder != id && !known.is_reported) {
                known.is_reported = true;
                if (broken_++ == 0) {
                    note_("OWNER is broken: " + id + " takes key " + std::to_string(key) +
                          " with fence " + std::to_string(fence) + ", and " + known.holder +
                          " had it with fence " + std::to_string(known.highest));
                }
            }
            if (fence > known.highest) {
                known.highest = fence;
                known.holder = id;
            }
        }
    }

    /// Number of keys that were taken with a fence that was not above all of others.
    [[nodiscard]] std::uint64_t broken() const { return broken_; }

private:
    struct known_fence {
        std::uint64_t highest = 0;
        std::string holder;
        bool is_reported = false;
    };

    report note_;
    std::vector<known_fence> fences_;
    std::uint64_t broken_ = 0;
};

/// An instance of a service with keys: it runs a request only while it holds the request's key.
class keyed_instance : public std::enable_shared_from_this<keyed_instance> {
public:
    keyed_instance(net::io_context& context, store& objects, owner_judge& judge,
                   std::string service, std::string id, std::string zone, std::uint16_t port)
        : context_{context},
          objects_{objects},
          judge_{judge},
          service_{std::move(service)},
          id_{std::move(id)},
          zone_{std::move(zone)},
          port_{port},
          born_{std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()},
          seen_(owner_judge::keys, 0) {}

    /// Called for each request that it begins to run.
    std::function<void(const std::string& request, std::uint32_t key, std::uint64_t fence)> on_run =
        [](const auto&, auto, auto) {};

    void start() {
        server_ = std::make_shared<server>(context_, loopback(port_),
                                           [self = shared_from_this()](request message) {
                                               return self->serve(std::move(message));
                                           });
        server_->start();
        beat();
    }

    void beat() {
        objects_.put("servers", id_,
                     {{"service", service_},
                      {"address", "127.0.0.1:" + std::to_string(port_)},
                      {"zone", zone_},
                      {"version", "v1"},
                      {"slots", slots},
                      {"state", "ready"},
                      {"coldRemainingS", 0},
                      {"sequence", ++sequence_},
                      {"born", born_}});
    }

    /// Partitions it from all machines, but not from the store.
    void cut() { server_->cut(); }
    void heal() {
        server_->heal();
        healed_at_ = steady::now();
    }

    [[nodiscard]] const std::string& id() const { return id_; }
    /// Number of keys that it holds now.
    [[nodiscard]] std::uint64_t held() const {
        std::uint64_t sum = 0;
        for (const auto& [first, range] : ranges_) {
            sum += steady::now() < range.until ? range.last - first + 1 : 0;
        }
        return sum;
    }

private:
    static constexpr std::uint32_t slots = 6;
    static constexpr milliseconds work{60};
    static constexpr milliseconds thaw_slack{300};

    struct range {
        std::uint32_t last;
        std::uint64_t fence;
        steady::time_point until;
    };

    response answer_to(const request& message, unsigned status, std::string body) const {
        auto answer = make_response(status, std::move(body), "text/plain");
        answer.set("X-Cuminwinch-Attempt-Id", message["X-Cuminwinch-Attempt-Id"]);
        answer.set("X-Cuminwinch-Instance-Load",
                   std::to_string(running_) + ",0," + std::to_string(slots));
        return answer;
    }

    response rejection_of(const request& message, unsigned status) const {
        auto answer = answer_to(message, status, "not run");
        answer.set("X-Cuminwinch-Not-Executed", "1");
        return answer;
    }

    /// Takes the keys from the ranges that are held.
    void remove(std::uint32_t first, std::uint32_t last) {
        std::map<std::uint32_t, range> rest;
        for (const auto& [from, held] : ranges_) {
            if (held.last < first || from > last) {
                rest[from] = held;
                continue;
            }
            if (from < first) {
                rest[from] = {first - 1, held.fence, held.until};
            }
            if (held.last > last) {
                rest[last + 1] = held;
            }
        }
        ranges_ = std::move(rest);
    }

    response grant(const json& command) {
        const auto first = command.at("from").get<std::uint32_t>();
        const auto last = command.at("target").get<std::uint32_t>();
        const auto fence = command.at("fence").get<std::uint64_t>();
        const std::chrono::duration<double> hold{command.at("holdS").get<double>()};
        for (auto key = first; key <= last; ++key) {
            if (seen_[key] > fence) {
                return make_response(409, "{}");
            }
        }
        std::fill(seen_.begin() + first, seen_.begin() + last + 1, fence);
        remove(first, last);
        ranges_[first] = {last, fence,
                          steady::now() + std::chrono::duration_cast<steady::duration>(hold)};
        judge_.on_taken(id_, first, last, fence, steady::now() > healed_at_ + thaw_slack);
        return make_response(200, "{}");
    }

    task<response> release(const json& command) {
        const auto first = command.at("from").get<std::uint32_t>();
        const auto last = command.at("target").get<std::uint32_t>();
        const auto fence = command.at("fence").get<std::uint64_t>();
        for (auto key = first; key <= last; ++key) {
            seen_[key] = std::max(seen_[key], fence);
        }
        remove(first, last);
        // The answer comes when the work that was running on these keys has ended.
        while (std::any_of(working_.begin(), working_.end(),
                           [&](auto key) { return key >= first && key <= last; })) {
            co_await pause(context_, milliseconds{5});
        }
        auto answer = make_response(200, "{}");
        answer.set("X-Cuminwinch-Handover", "h" + std::to_string(fence) + id_);
        co_return answer;
    }

    task<std::optional<response>> serve(request message) {
        const auto expected = message["X-Cuminwinch-Expected-Instance"];
        if (!expected.empty() && expected != id_) {
            co_return rejection_of(message, 421);
        }
        const std::string path{message.target()};
        if (path == "/api/grant") {
            co_return grant(json::parse(message.body()));
        }
        if (path == "/api/release") {
            co_return co_await release(json::parse(message.body()));
        }
        const std::string key_text{message["X-Cuminwinch-Shard-Key"]};
        const auto key = static_cast<std::uint32_t>(std::atoi(key_text.c_str()));
        const auto after = ranges_.upper_bound(key);
        const auto found = after == ranges_.begin() ? ranges_.end() : std::prev(after);
        if (found == ranges_.end() || key > found->second.last ||
            steady::now() >= found->second.until) {
            co_return rejection_of(message, 421);
        }
        if (running_ >= slots) {
            co_return rejection_of(message, 503);
        }
        const std::string id{message["X-Cuminwinch-Attempt-Id"]};
        on_run(id, key, found->second.fence);
        ++running_;
        working_.insert(key);
        co_await pause(context_, work);
        working_.erase(working_.find(key));
        --running_;
        auto answer = answer_to(message, 200, id_ + " ran " + id + "\n");
        answer.set("X-Cuminwinch-Response-Signature", "signed-by-" + id_);
        co_return answer;
    }

    net::io_context& context_;
    store& objects_;
    owner_judge& judge_;
    std::string service_;
    std::string id_;
    std::string zone_;
    std::uint16_t port_;
    std::int64_t born_;
    std::uint64_t sequence_ = 0;
    std::uint32_t running_ = 0;
    std::multiset<std::uint32_t> working_;
    std::vector<std::uint64_t> seen_;
    std::map<std::uint32_t, range> ranges_;
    steady::time_point healed_at_{};
    std::shared_ptr<server> server_;
};

} // namespace review
