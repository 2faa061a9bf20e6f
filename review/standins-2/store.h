#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <deque>
#include <map>
#include <string_view>

namespace review {

using nlohmann::json;

/// The platform's store: objects with revisions, conditional writes, lists and watches.
class store {
public:
    store(net::io_context& context, std::uint16_t port)
        : context_{context},
          server_{std::make_shared<server>(
              context, loopback(port), [this](request message) -> task<std::optional<response>> {
                  if (is_away_) {
                      co_return std::nullopt;
                  }
                  const auto absences = absences_;
                  auto answer = co_await serve(std::move(message));
                  if (absences != absences_) {
                      co_return std::nullopt;
                  }
                  answer.set("Store-Era", std::to_string(era_));
                  co_return answer;
              })} {
        server_->start();
    }

    void put(const std::string& kind, const std::string& name, json spec) {
        auto& object = objects_[kind][name];
        object = {{"metadata",
                   {{"name", name},
                    {"revision", ++revision_},
                    {"created", 0},
                    {"finalizers", json::array()},
                    {"deleting", false}}},
                  {"spec", std::move(spec)},
                  {"status", nullptr}};
        add_event(kind, {{"object", object}, {"deleted", false}});
    }

    void remove(const std::string& kind, const std::string& name) {
        const auto found = objects_[kind].find(name);
        if (found != objects_[kind].end()) {
            ++revision_;
            add_event(kind, {{"object", found->second}, {"deleted", true}});
            objects_[kind].erase(found);
        }
    }

    /// The spec of an object; null if there is none.
    [[nodiscard]] json spec(const std::string& kind, const std::string& name) const {
        const auto objects = objects_.find(kind);
        if (objects == objects_.end() || !objects->second.contains(name)) {
            return {};
        }
        return objects->second.at(name).at("spec");
    }

    /// A drill: the store is away, and comes back from a copy.
    void take_copy() { copy_ = {objects_, history_, forgotten_, revision_}; }
    void go_away() {
        is_away_ = true;
        ++absences_;
        changed_now();
    }
    void come_back_from_copy() {
        objects_ = copy_.objects;
        history_ = copy_.history;
        forgotten_ = copy_.forgotten;
        revision_ = copy_.revision;
        ++era_;
        is_away_ = false;
    }

private:
    struct event {
        std::uint64_t revision;
        std::string kind;
        json content;
    };

    struct contents {
        std::map<std::string, std::map<std::string, json>> objects;
        std::deque<event> history;
        std::uint64_t forgotten = 0;
        std::uint64_t revision = 1;
    };

    static constexpr std::size_t max_history = 20'000;
    static constexpr std::size_t page_size = 500;

    void add_event(const std::string& kind, json content) {
        history_.push_back({revision_, kind, std::move(content)});
        if (history_.size() > max_history) {
            forgotten_ = history_.front().revision;
            history_.pop_front();
        }
        changed_now();
    }

    static std::string parameter(std::string_view target, std::string_view name) {
        const auto query = target.find('?');
        std::string_view rest =
            query == std::string_view::npos ? std::string_view{} : target.substr(query + 1);
        while (!rest.empty()) {
            const auto part = rest.substr(0, rest.find('&'));
            rest.remove_prefix(std::min(rest.size(), part.size() + 1));
            const auto equal = part.find('=');
            if (equal != std::string_view::npos && part.substr(0, equal) == name) {
                return std::string{part.substr(equal + 1)};
            }
        }
        return {};
    }

    task<response> serve(request message) {
        const std::string target{message.target()};
        constexpr std::string_view prefix = "/api/objects/";
        if (!target.starts_with(prefix)) {
            co_return make_response(404, "{}");
        }
        const auto path = target.substr(prefix.size(), target.find('?') == std::string::npos
                                                           ? std::string::npos
                                                           : target.find('?') - prefix.size());
        const auto slash = path.find('/');
        const auto kind = path.substr(0, slash);
        auto name = slash == std::string::npos ? std::string{} : path.substr(slash + 1);
        if (message.method() != http::verb::get) {
            co_return write(message, kind, name);
        }
        if (!name.empty()) {
            const auto found = objects_[kind].find(name);
            co_return found == objects_[kind].end() ? make_response(404, "{}")
                                                    : make_response(200, found->second.dump());
        }
        const auto watch = parameter(target, "watch");
        if (watch.empty()) {
            co_return list(kind, parameter(target, "after"));
        }
        const milliseconds wait{std::atoll(parameter(target, "waitMs").c_str())};
        co_return co_await watch_from(kind, std::strtoull(watch.c_str(), nullptr, 10), wait);
    }

    response list(const std::string& kind, const std::string& after) {
        json answer{{"items", json::array()}, {"hasMore", false}, {"currentRev", revision_}};
        const auto& objects = objects_[kind];
        for (auto at = objects.upper_bound(after); at != objects.end(); ++at) {
            if (answer["items"].size() == page_size) {
                answer["hasMore"] = true;
                break;
            }
            answer["items"].push_back(at->second);
        }
        return make_response(200, answer.dump());
    }

    task<response> watch_from(std::string kind, std::uint64_t from, milliseconds wait) {
        const auto until = steady::now() + wait;
        while (true) {
            if (from < forgotten_ || from > revision_) {
                co_return make_response(410, "{}");
            }
            json events = json::array();
            for (auto at = history_.rbegin(); at != history_.rend() && at->revision > from; ++at) {
                if (at->kind == kind) {
                    events.push_back(at->content);
                }
            }
            std::reverse(events.begin(), events.end());
            if (!events.empty() || steady::now() >= until) {
                co_return make_response(
                    200, json{{"events", std::move(events)}, {"currentRev", revision_}}.dump());
            }
            net::steady_timer timer{context_, until};
            waiting_.insert(&timer);
            boost::system::error_code ignored;
            co_await timer.async_wait(into(ignored));
            waiting_.erase(&timer);
        }
    }

    response write(const request& message, const std::string& kind, std::string name) {
        const auto body = json::parse(message.body(), nullptr, false);
        const bool is_status = name.ends_with("/status");
        if (is_status) {
            name.resize(name.size() - std::string_view{"/status"}.size());
        }
        const auto metadata = body.is_object() ? body.value("metadata", json::object()) : json{};
        if (message.method() == http::verb::post) {
            name = metadata.value("name", "");
            const auto found = objects_[kind].find(name);
            if (found != objects_[kind].end()) {
                return make_response(409, found->second.dump());
            }
            put(kind, name, body.value("spec", json{}));
            return changed(kind, name);
        }
        const auto found = objects_[kind].find(name);
        if (found == objects_[kind].end()) {
            return make_response(404, "{}");
        }
        if (metadata.contains("revision") &&
            metadata["revision"] != found->second["metadata"]["revision"]) {
            return make_response(409, found->second.dump());
        }
        if (message.method() == http::verb::delete_) {
            remove(kind, name);
            changed_now();
            return make_response(200, "{}");
        }
        if (!is_status && found->second["spec"] != body.value("spec", json{})) {
            put(kind, name, body.value("spec", json{}));
        }
        return changed(kind, name);
    }

    response changed(const std::string& kind, const std::string& name) {
        changed_now();
        return make_response(200, objects_[kind][name].dump());
    }

public:
    /// Wakes the watches that wait, after changes made by put() and remove().
    void changed_now() {
        for (auto* timer : waiting_) {
            timer->cancel();
        }
    }

private:
    net::io_context& context_;
    std::map<std::string, std::map<std::string, json>> objects_;
    std::deque<event> history_;
    std::uint64_t forgotten_ = 0;
    std::uint64_t revision_ = 1;
    std::uint64_t era_ = 1;
    bool is_away_ = false;
    std::uint64_t absences_ = 0;
    contents copy_;
    std::set<net::steady_timer*> waiting_;
    std::shared_ptr<server> server_;
};

} // namespace review
