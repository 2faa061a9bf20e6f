#pragma once

#include "http.h"

#include <condition_variable>
#include <deque>
#include <nlohmann/json.hpp>

/// The platform's store: objects with revisions, conditional writes, lists and watches. The `spec`
/// of an object is kept as the text that was written.
class store {
public:
    explicit store(std::uint16_t port)
        : server_{[this](const http_message& request) { return serve(request); }, port} {}

    /// Writes an object as the operator or an instance does; `spec` is the text of its JSON.
    void put(const std::string& kind, const std::string& name, const std::string& spec) {
        const std::scoped_lock lock{mutex_};
        write(kind, name, spec);
    }

    void remove(const std::string& kind, const std::string& name) {
        const std::scoped_lock lock{mutex_};
        const auto text = object_text(name, objects_[kind][name]);
        objects_[kind].erase(name);
        append(kind, R"({"deleted":true,"object":)" + text + "}");
    }

private:
    struct object {
        std::uint64_t revision = 0;
        std::string spec;
    };
    struct event {
        std::uint64_t revision;
        std::string kind;
        std::string text;
    };

    static std::string object_text(const std::string& name, const object& item) {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" +
               std::to_string(item.revision) + R"(,"finalizers":[]},"spec":)" + item.spec +
               R"(,"status":null})";
    }

    void append(const std::string& kind, std::string text) {
        history_.push_back({++revision_, kind, std::move(text)});
        changed_.notify_all();
    }

    std::string write(const std::string& kind, const std::string& name, const std::string& spec) {
        objects_[kind][name] = {revision_ + 1, spec};
        const auto text = object_text(name, objects_[kind][name]);
        append(kind, R"({"deleted":false,"object":)" + text + "}");
        return text;
    }

    static std::uint64_t query_number(const std::string& target, const std::string& name) {
        const auto at = target.find(name + "=");
        return at == std::string::npos
                   ? 0
                   : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
    }

    http_message serve(const http_message& request) {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        const std::string prefix{"/api/objects/"};
        if (!path.starts_with(prefix)) {
            return make_answer(404, "{}");
        }
        const auto rest = path.substr(prefix.size());
        const auto kind = rest.substr(0, rest.find('/'));
        const auto name =
            rest.find('/') == std::string::npos ? std::string{} : rest.substr(rest.find('/') + 1);
        if (request.method() != "GET") {
            return change(request, kind, name);
        }
        if (target.find("watch=") != std::string::npos) {
            return watch(kind, query_number(target, "watch"), query_number(target, "waitMs"));
        }
        const std::scoped_lock lock{mutex_};
        const auto& objects = objects_[kind];
        if (!name.empty()) {
            const auto found = objects.find(name);
            return found == objects.end() ? make_answer(404, "{}")
                                          : make_answer(200, object_text(name, found->second));
        }
        std::string items;
        for (const auto& [key, item] : objects) {
            items += (items.empty() ? "" : ",") + object_text(key, item);
        }
        return make_answer(200, R"({"items":[)" + items + R"(],"hasMore":false,"currentRev":)" +
                                    std::to_string(revision_) + "}");
    }

    http_message watch(const std::string& kind, std::uint64_t from, std::uint64_t wait_ms) {
        std::unique_lock lock{mutex_};
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds{wait_ms};
        while (true) {
            std::string events;
            for (const auto& item : history_) {
                if (item.revision > from && item.kind == kind) {
                    events += (events.empty() ? "" : ",") + item.text;
                }
            }
            if (!events.empty() || std::chrono::steady_clock::now() >= until) {
                return make_answer(200, R"({"events":[)" + events + R"(],"currentRev":)" +
                                            std::to_string(revision_) + "}");
            }
            changed_.wait_until(lock, until);
        }
    }

    http_message change(const http_message& request, const std::string& kind,
                        const std::string& path_name) {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("metadata") || !body.contains("spec")) {
            return make_answer(400, "{}");
        }
        const auto& metadata = body["metadata"];
        const auto name = path_name.empty() ? metadata.value("name", "") : path_name;
        const std::scoped_lock lock{mutex_};
        const auto found = objects_[kind].find(name);
        const bool exists = found != objects_[kind].end();
        if (request.method() == "POST" && exists) {
            return make_answer(409, object_text(name, found->second));
        }
        if (request.method() == "PUT" && !exists) {
            return make_answer(404, "{}");
        }
        if (metadata.contains("revision") && exists &&
            metadata["revision"] != found->second.revision) {
            return make_answer(409, object_text(name, found->second));
        }
        return make_answer(200, write(kind, name, body["spec"].dump()));
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> objects_;
    std::deque<event> history_;
    std::uint64_t revision_ = 1;
    http_server server_;
};
