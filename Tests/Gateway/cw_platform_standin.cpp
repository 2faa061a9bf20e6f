#include "cw_platform_standin.h"

#include "cw_async.h"
#include "cw_query.h"

#include <boost/beast/http/verb.hpp>

namespace net = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {
constexpr std::string_view objects_path = "/api/objects/";
/// Objects on one page of a list.
constexpr std::size_t page_size = 4;
/// Time for which a call to a store that is down gets no answer.
constexpr auto no_answer_time = 30s;

std::string percent_decoded(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 <= text.size() - 1) {
            decoded +=
                static_cast<char>(std::stoi(std::string{text.substr(i + 1, 2)}, nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}
} // namespace

cw_platform_standin::cw_platform_standin(net::io_context& context, const cw_address& address)
    : context_{context},
      server_{context, address,
              [this](cw_http_request request) { return serve(std::move(request)); }},
      changed_{context} {}

void cw_platform_standin::append_event(const std::string& kind, json event) {
    history_.push_back({revision_, kind, std::move(event)});
    if (history_.size() > max_history_) {
        last_dropped_revision_ = history_.front().revision;
        history_.pop_front();
    }
    changed_.notify_all();
}

json& cw_platform_standin::write_object(const std::string& kind, const std::string& name,
                                        json spec) {
    auto& object = objects_[kind][name];
    ++revision_;
    object = {
        {"metadata", {{"name", name}, {"revision", revision_}, {"finalizers", json::array()}}},
        {"spec", std::move(spec)},
        {"status", nullptr}};
    append_event(kind, {{"deleted", false}, {"object", object}});
    return object;
}

void cw_platform_standin::put(const std::string& kind, const std::string& name, json spec) {
    write_object(kind, name, std::move(spec));
}

json cw_platform_standin::spec(const std::string& kind, const std::string& name) const {
    const auto objects = objects_.find(kind);
    if (objects == objects_.end() || !objects->second.contains(name)) {
        return {};
    }
    return objects->second.at(name).at("spec");
}

void cw_platform_standin::put_raw(const std::string& kind, const std::string& name,
                                  const std::string& spec) {
    const auto marker = "raw-" + std::to_string(raw_specs_.size());
    raw_specs_["\"" + marker + "\""] = spec;
    put(kind, name, marker);
}

void cw_platform_standin::remove(const std::string& kind, const std::string& name) {
    auto& objects = objects_[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
        return;
    }
    const auto object = found->second;
    objects.erase(found);
    ++revision_;
    append_event(kind, {{"deleted", true}, {"object", object}});
}

void cw_platform_standin::forget_history() {
    history_.clear();
    last_dropped_revision_ = revision_;
    ++revision_;
    changed_.notify_all();
}

void cw_platform_standin::come_back_from(copy older) {
    objects_ = std::move(older.objects);
    history_ = std::move(older.history);
    last_dropped_revision_ = older.last_dropped_revision;
    revision_ = older.revision;
    ++era_;
    ++outages_;
    changed_.notify_all();
}

cw_http_response cw_platform_standin::list_objects(const std::string& kind,
                                                   std::string_view target) const {
    const auto after = percent_decoded(cw_query_value(target, "after"));
    json answer{{"items", json::array()}, {"hasMore", false}, {"currentRev", revision_}};
    const auto objects = objects_.find(kind);
    if (objects != objects_.end()) {
        for (auto object = objects->second.upper_bound(after); object != objects->second.end();
             ++object) {
            if (answer["items"].size() == page_size) {
                answer["hasMore"] = true;
                break;
            }
            answer["items"].push_back(object->second);
        }
    }
    return cw_make_response(http::status::ok, answer.dump());
}

net::awaitable<cw_http_response> cw_platform_standin::watch_objects(std::string kind,
                                                                    std::string target) {
    const auto from = cw_query_number(target, "watch", 0);
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds{cw_query_number(target, "waitMs", 0)};
    json answer{{"events", json::array()}};
    const auto outages = outages_;
    while (true) {
        if (outages != outages_) {
            co_await cw_pause(context_, no_answer_time);
        }
        if (from < last_dropped_revision_ || from > revision_) {
            co_return cw_make_response(http::status::gone, "{}");
        }
        for (const auto& item : history_) {
            if (item.revision > from && item.kind == kind) {
                answer["events"].push_back(item.event);
            }
        }
        if (!answer["events"].empty() || std::chrono::steady_clock::now() >= until) {
            answer["currentRev"] = revision_;
            co_return cw_make_response(http::status::ok, answer.dump());
        }
        co_await changed_.wait(until);
    }
}

cw_http_response cw_platform_standin::handle_write(const std::string& kind, const std::string& name,
                                                   const cw_http_request& request) {
    const auto body = json::parse(request.body());
    const auto& metadata = body.at("metadata");
    const auto target = name.empty() ? metadata.at("name").get<std::string>() : name;
    auto& objects = objects_[kind];
    const auto found = objects.find(target);
    if (request.method() == http::verb::post && found != objects.end()) {
        return cw_make_response(http::status::conflict, found->second.dump());
    }
    if (request.method() == http::verb::put) {
        if (found == objects.end()) {
            return cw_make_response(http::status::not_found, "{}");
        }
        const auto known = found->second["metadata"]["revision"].get<std::uint64_t>();
        if (metadata.contains("revision") && metadata["revision"] != known) {
            return cw_make_response(http::status::conflict, found->second.dump());
        }
    }
    return cw_make_response(http::status::ok, write_object(kind, target, body.at("spec")).dump());
}

net::awaitable<cw_http_response> cw_platform_standin::serve(cw_http_request request) {
    auto answer = co_await serve_call(std::move(request));
    answer.set("Store-Era", std::to_string(era_));
    for (const auto& [placeholder, bytes] : raw_specs_) {
        auto& body = answer.body();
        for (auto at = body.find(placeholder); at != std::string::npos;
             at = body.find(placeholder, at + bytes.size())) {
            body.replace(at, placeholder.size(), bytes);
        }
    }
    answer.prepare_payload();
    co_return answer;
}

net::awaitable<cw_http_response> cw_platform_standin::serve_call(cw_http_request request) {
    ++calls_;
    const std::string target{request.target().data(), request.target().size()};
    const auto path = cw_target_path(target);
    const auto object_path = std::string{path.substr(std::min(objects_path.size(), path.size()))};
    const auto slash = object_path.find('/');
    const auto kind = object_path.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string{} : object_path.substr(slash + 1);
    ++calls_by_kind_[kind];
    if (down_) {
        co_await cw_pause(context_, no_answer_time);
        co_return cw_make_response(http::status::service_unavailable, "{}");
    }
    const auto delay = delay_ + kind_delays_[kind];
    if (delay > 0ms) {
        co_await cw_pause(context_, delay);
    }
    if (request.method() != http::verb::get) {
        auto answer = handle_write(kind, name, request);
        if (std::uniform_real_distribution<>{}(engine_) < lost_answers_) {
            co_await cw_pause(context_, no_answer_time);
        }
        co_return answer;
    }
    if (!name.empty()) {
        const auto& objects = objects_[kind];
        const auto found = objects.find(name);
        if (found == objects.end()) {
            co_return cw_make_response(http::status::not_found, "{}");
        }
        co_return cw_make_response(http::status::ok, found->second.dump());
    }
    if (!cw_query_value(target, "watch").empty()) {
        co_return co_await watch_objects(kind, target);
    }
    co_return list_objects(kind, target);
}
