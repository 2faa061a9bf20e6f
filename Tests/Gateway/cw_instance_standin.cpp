#include "cw_instance_standin.h"

#include "cw_async.h"
#include "cw_key_range.h"
#include "cw_query.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace net = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {
constexpr std::uint32_t slots = 8;

auto now() {
    return std::chrono::steady_clock::now();
}

std::uint64_t wall_ms() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}
} // namespace

cw_instance_standin::cw_instance_standin(net::io_context& context, std::string id,
                                         const cw_address& address, bool is_keyed)
    : context_{context},
      id_{std::move(id)},
      address_{address},
      is_keyed_{is_keyed},
      born_{wall_ms()},
      seen_fences_(cw_last_key + 1, 0) {
    listen();
}

void cw_instance_standin::listen() {
    ++life_;
    server_ = std::make_unique<cw_http_server>(
        context_, address_,
        [this, life = life_](cw_http_request request) { return serve(std::move(request), life); });
}

void cw_instance_standin::crash() {
    server_->close();
    earlier_.push_back(std::move(server_));
    ++life_;
    held_.clear();
    std::fill(seen_fences_.begin(), seen_fences_.end(), 0);
}

void cw_instance_standin::restart() {
    born_ = wall_ms();
    listen();
    server_->start();
}

bool cw_instance_standin::holds(std::uint32_t key) const {
    const auto after = held_.upper_bound(key);
    if (!is_up() || after == held_.begin()) {
        return false;
    }
    const auto& range = std::prev(after)->second;
    return key <= range.last && now() < range.until;
}

cw_http_response cw_instance_standin::obey(const cw_http_request& request, bool grants) {
    const auto order = nlohmann::json::parse(request.body());
    const auto first = order.at("from").get<std::uint32_t>();
    const auto last = order.at("target").get<std::uint32_t>();
    const auto fence = order.at("fence").get<std::uint64_t>();
    const auto begin = seen_fences_.begin() + first;
    const auto end = seen_fences_.begin() + last + 1;
    if (grants && std::any_of(begin, end, [fence](auto seen) { return seen > fence; })) {
        return cw_make_response(http::status::conflict, "{}");
    }
    std::transform(begin, end, begin, [fence](auto seen) { return std::max(seen, fence); });
    // Ranges that overlap are cut to what is left of them.
    std::map<std::uint32_t, held> kept;
    for (const auto& [from, range] : held_) {
        if (from < first) {
            kept[from] = {std::min(range.last, first - 1), range.fence, range.until};
        }
        if (range.last > last) {
            kept[std::max(from, last + 1)] = range;
        }
    }
    held_ = std::move(kept);
    if (grants) {
        const std::chrono::duration<double> lease{order.at("holdS").get<double>()};
        held_[first] = {last, fence,
                        now() + std::chrono::duration_cast<std::chrono::nanoseconds>(lease)};
    }
    auto answer = cw_make_response(http::status::ok, "{}");
    if (!grants) {
        answer.set("X-Cuminwinch-Handover", "token");
    }
    return answer;
}

net::awaitable<cw_http_response> cw_instance_standin::serve(cw_http_request request,
                                                            std::uint64_t life) {
    if (life != life_) {
        auto nothing = cw_make_response(http::status::internal_server_error, "");
        nothing.keep_alive(false);
        co_return nothing;
    }
    const std::string path{request.target().data(), request.target().size()};
    const auto meant = request["X-Cuminwinch-Expected-Instance"];
    if (!meant.empty() && meant != id_) {
        co_return cw_make_response(http::status::misdirected_request, "{}");
    }
    if (path == "/api/grant" || path == "/api/release") {
        co_return obey(request, path == "/api/grant");
    }
    co_return co_await work(std::move(request));
}

net::awaitable<cw_http_response> cw_instance_standin::work(cw_http_request request) {
    const std::string id{request["X-Cuminwinch-Attempt-Id"]};
    const auto key = static_cast<std::uint32_t>(
        std::atoi(std::string{request["X-Cuminwinch-Shard-Key"]}.c_str()));
    auto answer = cw_make_response(http::status::ok, id_ + " ran " + id);
    answer.set("X-Cuminwinch-Attempt-Id", id);
    if (is_keyed_ && !holds(key)) {
        answer.result(http::status::misdirected_request);
        answer.set("X-Cuminwinch-Not-Executed", "1");
        co_return answer;
    }
    if (running_ >= slots) {
        answer.result(http::status::service_unavailable);
        answer.set("X-Cuminwinch-Not-Executed", "1");
        co_return answer;
    }
    ++running_;
    runs_.push_back({id, key, now()});
    co_await cw_pause(context_, work_);
    --running_;
    answer.set("X-Cuminwinch-Response-Signature", "signed");
    answer.set("X-Cuminwinch-Instance-Load",
               std::to_string(running_) + ",0," + std::to_string(slots));
    co_return answer;
}
