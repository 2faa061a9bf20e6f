#include "cw_load_run.h"

#include "cw_address.h"
#include "cw_async.h"
#include "cw_header_names.h"
#include "cw_http_message.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {

using namespace std::chrono_literals;
constexpr auto answer_grace = 1s;
constexpr auto start_delay = 50ms;
constexpr std::uint64_t max_answer_bytes = 100'000'000;

cw_load_outcome outcome_of(const cw_http_response& answer) {
    const auto outcome = answer[cw_header_outcome];
    if (outcome == "answered") {
        return cw_load_outcome::answered;
    }
    if (outcome == "did-not-run") {
        return cw_load_outcome::did_not_run;
    }
    return outcome == "unknown" ? cw_load_outcome::unknown : cw_load_outcome::no_answer;
}

} // namespace

cw_load_run::cw_load_run(cw_load_options options)
    : options_{std::move(options)},
      random_engine_{options_.seed},
      key_distribution_{options_.key_count, options_.zipf_exponent},
      request_id_prefix_{std::to_string(std::random_device{}())} {}

std::string cw_load_run::path_of(std::uint32_t key) const {
    return options_.prefix + "k" + std::to_string(key) + "/x";
}

void cw_load_run::run() {
    net::co_spawn(context_, send_all(), net::detached);
    context_.run();
}

net::awaitable<void> cw_load_run::send_all() {
    const auto count = static_cast<std::size_t>(options_.rate) *
                       static_cast<std::size_t>(options_.duration.count());
    const auto interval = std::chrono::nanoseconds{1s} / options_.rate;
    const auto start = std::chrono::steady_clock::now() + start_delay;
    std::bernoulli_distribution is_post{options_.post_share};
    records_.resize(count);
    net::steady_timer timer{context_};
    for (std::size_t i = 0; i < count; ++i) {
        auto& record = records_[i];
        record.request_id = request_id_prefix_ + "-" + std::to_string(i);
        record.key =
            (key_distribution_.sample(random_engine_) + options_.hottest_key) % options_.key_count;
        record.is_post = is_post(random_engine_);
        record.intended_at = start + interval * i;
        if (std::chrono::steady_clock::now() < record.intended_at) {
            timer.expires_at(record.intended_at);
            boost::system::error_code failure;
            co_await timer.async_wait(cw_redirect_error(failure));
        }
        net::co_spawn(context_, send_request(i, options_.targets[i % options_.targets.size()]),
                      net::detached);
    }
}

std::unique_ptr<cw_load_run::stream> cw_load_run::take_idle_connection(const std::string& target) {
    auto& idle = idle_connections_[target];
    if (idle.empty()) {
        return nullptr;
    }
    auto connection = std::move(idle.back());
    idle.pop_back();
    return connection;
}

net::awaitable<void> cw_load_run::send_request(std::size_t index, std::string target) {
    auto& record = records_[index];
    auto connection = take_idle_connection(target);
    const auto deadline = record.intended_at + options_.deadline + answer_grace;
    if (connection == nullptr) {
        connection = std::make_unique<stream>(context_);
        connection->expires_at(deadline);
        boost::system::error_code failure;
        co_await connection->async_connect(cw_address::parse(target)->tcp(),
                                           cw_redirect_error(failure));
        if (failure) {
            // The request was not sent, so it cannot have been executed.
            record.outcome = cw_load_outcome::did_not_run;
            record.finished_at = std::chrono::steady_clock::now();
            co_return;
        }
        connection->socket().set_option(net::ip::tcp::no_delay{true}, failure);
    }
    connection->expires_at(deadline);
    const bool reusable = co_await exchange(*connection, record);
    record.finished_at = std::chrono::steady_clock::now();
    if (reusable) {
        connection->expires_never();
        idle_connections_[target].push_back(std::move(connection));
    }
}

net::awaitable<bool> cw_load_run::exchange(stream& connection, cw_load_record& record) {
    const auto path = path_of(record.key);
    const auto target =
        options_.answer_bytes == 0 ? path : path + "?size=" + std::to_string(options_.answer_bytes);
    cw_http_request request{record.is_post ? http::verb::post : http::verb::get, target, 11};
    request.set(http::field::host, "load");
    request.set(cw_header_request_id, record.request_id);
    request.set(cw_header_deadline_ms, std::to_string(options_.deadline.count()));
    if (record.is_post) {
        request.body() = "order";
    }
    request.prepare_payload();
    boost::system::error_code failure;
    co_await http::async_write(connection, request, cw_redirect_error(failure));
    if (failure) {
        co_return false;
    }
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    co_await http::async_read(connection, buffer, parser, cw_redirect_error(failure));
    if (failure) {
        co_return false;
    }
    const auto& answer = parser.get();
    record.outcome = outcome_of(answer);
    if (record.outcome == cw_load_outcome::answered) {
        const auto end = answer.body().find('}');
        const auto body = nlohmann::json::parse(answer.body().substr(0, end + 1), nullptr, false);
        const bool is_match =
            body.is_object() && body.value("request_id", "") == record.request_id &&
            body.value("key", "") == path && answer.body().size() >= options_.answer_bytes;
        if (is_match) {
            record.upstream = body.value("upstream", "");
        } else {
            record.outcome = cw_load_outcome::wrong_answer;
        }
    }
    co_return answer.keep_alive();
}
