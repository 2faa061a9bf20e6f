#pragma once

/// What a script of the review needs: instances (servers), a client's exchange, and the record.

#include "cw_address.h"
#include "cw_async.h"
#include "cw_http_message.h"
#include "cw_platform_standin.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace net = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;
using nlohmann::json;

inline cw_address loopback(std::uint16_t port) {
    return {net::ip::address_v4::loopback(), port};
}

/// Lines with the time since the start, for record.txt.
class record {
public:
    explicit record(const std::string& path)
        : file_{path} {}
    void line(const std::string& text) {
        const auto ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - started_at_)
                .count();
        file_ << ms / 1000 << '.' << (ms % 1000 < 100 ? "0" : "") << (ms % 1000 < 10 ? "0" : "")
              << ms % 1000 << " s  " << text << '\n';
    }
    void flush() { file_.flush(); }
    [[nodiscard]] double seconds() const {
        return std::chrono::duration<double>(clock_type::now() - started_at_).count();
    }

private:
    std::ofstream file_;
    clock_type::time_point started_at_ = clock_type::now();
};

struct server_options {
    std::string service;
    std::string domain = "z";
    std::uint32_t slots = 3;
    std::uint32_t queue = 12;
    std::size_t max_connections = 120;
    std::chrono::milliseconds work{290};
    std::chrono::seconds idle_timeout{10};
    bool is_keyed = false;
};

inline constexpr std::uint32_t last_key = 65'535;
/// Largest share of the answers that `garble` spoils in a site file.
inline constexpr double largest_share = 0.02;

/// An instance as PROTOCOL.md has it.
class server {
public:
    server(net::io_context& context, std::string id, std::uint16_t port, server_options options)
        : context_{context},
          id_{std::move(id)},
          port_{port},
          options_{std::move(options)},
          acceptor_{context},
          born_{static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                               std::chrono::system_clock::now().time_since_epoch())
                                               .count())} {}

    void start() {
        const auto endpoint = loopback(port_).tcp();
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(net::ip::tcp::acceptor::reuse_address{true});
        acceptor_.bind(endpoint);
        acceptor_.listen();
        net::co_spawn(context_, accept(), net::detached);
    }
    /// The process ends: its operating system closes all its sockets.
    void end() {
        has_ended_ = true;
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (auto* socket : sockets_) {
            socket->close(ignored);
        }
    }
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] bool is_leaving() const { return is_leaving_; }
    void leave() { is_leaving_ = true; }
    /// From now on the token in its answers to releases has wrong bytes, in as large a share of all
    /// its answers as the site file has for `garble` at most.
    void spoil_tokens() { spoils_tokens_ = true; }
    [[nodiscard]] std::uint64_t spoilt() const { return spoilt_; }
    [[nodiscard]] std::uint64_t answers() const { return answers_; }
    [[nodiscard]] json entry(std::uint64_t sequence) const {
        return {{"service", options_.service},
                {"address", "127.0.0.1:" + std::to_string(port_)},
                {"zone", options_.domain},
                {"version", "v1"},
                {"slots", options_.slots},
                {"state", is_leaving_ ? "draining" : "ready"},
                {"coldRemainingS", 0},
                {"sequence", sequence},
                {"born", born_}};
    }

private:
    net::awaitable<void> accept() {
        while (!has_ended_) {
            boost::system::error_code failure;
            auto socket = co_await acceptor_.async_accept(cw_redirect_error(failure));
            if (failure) {
                co_return;
            }
            if (sockets_.size() >= options_.max_connections) {
                socket.set_option(net::socket_base::linger{true, 0}, failure);
                continue;
            }
            net::co_spawn(context_, serve(std::move(socket)), net::detached);
        }
    }

    net::awaitable<void> serve(net::ip::tcp::socket socket) {
        boost::beast::tcp_stream stream{std::move(socket)};
        stream.socket().set_option(net::ip::tcp::no_delay{true});
        const auto position = sockets_.insert(sockets_.end(), &stream.socket());
        boost::beast::flat_buffer buffer;
        boost::system::error_code failure;
        while (!failure && !has_ended_) {
            cw_http_request request;
            stream.expires_after(options_.idle_timeout);
            co_await http::async_read(stream, buffer, request, cw_redirect_error(failure));
            stream.expires_never();
            if (failure || has_ended_) {
                break;
            }
            auto answer = co_await handle(request);
            ++answers_;
            if (has_ended_) {
                break;
            }
            answer.prepare_payload();
            answer.keep_alive(!is_leaving_);
            if (!is_leaving_) {
                answer.set(http::field::keep_alive,
                           "timeout=" + std::to_string(options_.idle_timeout.count()));
            }
            co_await http::async_write(stream, answer, cw_redirect_error(failure));
            if (is_leaving_) {
                break;
            }
        }
        sockets_.erase(position);
    }

    net::awaitable<cw_http_response> handle(const cw_http_request& request) {
        const std::string attempt{request["X-Cuminwinch-Attempt-Id"]};
        auto answer = cw_make_response(http::status::ok, id_ + " ran " + attempt, "text/plain");
        answer.set("X-Cuminwinch-Attempt-Id", attempt);
        const auto expected = request["X-Cuminwinch-Expected-Instance"];
        if (!expected.empty() && expected != id_) {
            answer.result(http::status::misdirected_request);
            answer.set("X-Cuminwinch-Not-Executed", "1");
            co_return answer;
        }
        if (request.target() == "/api/grant" || request.target() == "/api/release") {
            co_return co_await command(request);
        }
        const auto key = static_cast<std::uint32_t>(
            std::atoi(std::string{request["X-Cuminwinch-Shard-Key"]}.c_str()));
        if (options_.is_keyed && !holds(key)) {
            answer.result(http::status::misdirected_request);
            answer.set("X-Cuminwinch-Not-Executed", "1");
            co_return answer;
        }
        if (running_ >= options_.slots && waiting_ >= options_.queue) {
            answer.result(http::status::service_unavailable);
            answer.set("X-Cuminwinch-Not-Executed", "1");
            set_load(answer);
            co_return answer;
        }
        ++waiting_;
        while (running_ >= options_.slots) {
            co_await cw_pause(context_, 5ms);
        }
        --waiting_;
        ++running_;
        at_work_[key] += options_.is_keyed ? 1 : 0;
        co_await cw_pause(context_, options_.work);
        --running_;
        at_work_[key] -= options_.is_keyed ? 1 : 0;
        answer.set("X-Cuminwinch-Response-Signature", "signed-" + attempt);
        set_load(answer);
        co_return answer;
    }

    [[nodiscard]] bool holds(std::uint32_t key) const {
        return key <= last_key && !held_until_.empty() && clock_type::now() < held_until_[key];
    }

    /// Executes a grant or a release. A release is answered when the work on its keys has ended.
    net::awaitable<cw_http_response> command(const cw_http_request& request) {
        const auto body = json::parse(request.body());
        const auto first = body.at("from").get<std::uint32_t>();
        const auto last = body.at("target").get<std::uint32_t>();
        const auto fence = body.at("fence").get<std::uint64_t>();
        const bool is_grant = request.target() == "/api/grant";
        if (held_until_.empty()) {
            held_until_.resize(last_key + 1);
            fences_.resize(last_key + 1);
        }
        for (auto key = first; is_grant && key <= last; ++key) {
            if (fences_[key] > fence) {
                co_return cw_make_response(http::status::conflict, "{}");
            }
        }
        const auto until =
            is_grant ? clock_type::now() +
                           std::chrono::duration_cast<clock_type::duration>(
                               std::chrono::duration<double>(body.at("holdS").get<double>()))
                     : clock_type::time_point{};
        for (auto key = first; key <= last; ++key) {
            fences_[key] = std::max(fences_[key], fence);
            held_until_[key] = until;
        }
        auto answer = cw_make_response(http::status::ok, "{}");
        if (is_grant) {
            co_return answer;
        }
        const auto is_at_work = [&] {
            return std::any_of(at_work_.begin(), at_work_.end(), [&](const auto& item) {
                return item.second > 0 && item.first >= first && item.first <= last;
            });
        };
        while (is_at_work()) {
            co_await cw_pause(context_, 5ms);
        }
        std::string token = "5c0e7a21d94b36f8";
        if (spoils_tokens_ &&
            static_cast<double>(spoilt_ + 1) <= largest_share * static_cast<double>(answers_)) {
            token[7] = static_cast<char>(0xe9);
            ++spoilt_;
        }
        answer.set("X-Cuminwinch-Handover", token);
        co_return answer;
    }

    void set_load(cw_http_response& answer) const {
        answer.set("X-Cuminwinch-Instance-Load", std::to_string(running_) + "," +
                                                     std::to_string(waiting_) + "," +
                                                     std::to_string(options_.slots));
    }

    net::io_context& context_;
    std::string id_;
    std::uint16_t port_;
    server_options options_;
    net::ip::tcp::acceptor acceptor_;
    std::list<net::ip::tcp::socket*> sockets_;
    std::uint64_t born_;
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::vector<clock_type::time_point> held_until_;
    std::vector<std::uint64_t> fences_;
    std::map<std::uint32_t, int> at_work_;
    bool spoils_tokens_ = false;
    std::uint64_t spoilt_ = 0;
    std::uint64_t answers_ = 0;
    bool is_leaving_ = false;
    bool has_ended_ = false;
};

/// A request on a connection of a client: status, or 0 if there was no complete answer in time.
struct outcome {
    int status = 0;
    std::string body;
    bool has_signature = false;
    bool was_connected = false;
    bool keeps_open = false;
};

inline cw_http_request make_request(const std::string& id, std::chrono::milliseconds limit,
                                    bool is_post, std::string body = {}) {
    cw_http_request request{is_post ? http::verb::post : http::verb::get, "/orders/x", 11};
    request.set(http::field::host, "shop.example");
    request.set("X-Cuminwinch-Attempt-Id", id);
    request.set("X-Cuminwinch-Request-Timeout-Ms", std::to_string(limit.count()));
    if (is_post) {
        request.body() = body.empty() ? "one shirt" : std::move(body);
    }
    request.prepare_payload();
    return request;
}

inline net::awaitable<outcome> exchange(boost::beast::tcp_stream& stream,
                                        boost::beast::flat_buffer& buffer,
                                        const cw_http_request& request,
                                        std::chrono::milliseconds limit) {
    outcome result;
    result.was_connected = true;
    boost::system::error_code failure;
    stream.expires_after(limit);
    co_await http::async_write(stream, request, cw_redirect_error(failure));
    cw_http_response answer;
    if (!failure) {
        co_await http::async_read(stream, buffer, answer, cw_redirect_error(failure));
    }
    stream.expires_never();
    if (!failure) {
        result.status = static_cast<int>(answer.result_int());
        result.body = answer.body();
        result.has_signature = answer.find("X-Cuminwinch-Response-Signature") != answer.end();
        result.keeps_open = answer.keep_alive();
    }
    co_return result;
}

} // namespace review
