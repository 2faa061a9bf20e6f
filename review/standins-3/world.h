#pragma once

/// What the stand-ins of the review's scripts share: instances (servers), clients, and the record.

#include "cw_address.h"
#include "cw_async.h"
#include "cw_http_message.h"
#include "cw_platform_standin.h"

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
    std::size_t max_connections = 520;
    std::chrono::milliseconds work{290};
    std::chrono::seconds idle_timeout{10};
};

/// An instance as PROTOCOL.md has it, of a service that is not divided by key.
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
    [[nodiscard]] std::size_t connections() const { return sockets_.size(); }
    [[nodiscard]] std::uint64_t runs() const { return runs_; }
    /// True if it has made the whole answer to that request.
    [[nodiscard]] bool has_reported(const std::string& attempt) const {
        return reports_.contains(attempt);
    }
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
        ++runs_;
        co_await cw_pause(context_, options_.work);
        --running_;
        answer.set("X-Cuminwinch-Response-Signature", "signed-" + attempt);
        set_load(answer);
        // The query names the length of the body, if it is to be longer.
        const std::string target{request.target()};
        const auto at = target.find("?bytes=");
        if (at != std::string::npos) {
            answer.body().resize(std::stoul(target.substr(at + 7)), '.');
            ++reports_[attempt];
        }
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
    std::uint64_t runs_ = 0;
    std::map<std::string, int> reports_;
    bool is_leaving_ = false;
    bool has_ended_ = false;
};

/// A configuration with one route and one service, as the operator writes it.
inline json configuration(std::uint64_t version, const std::string& kind,
                          const std::string& service, double timeout_s, double target_s) {
    json rule{{"name", "orders"},
              {"kind", kind},
              {"targetLatencyS", target_s},
              {"priority", 1},
              {"match", {{"pathPrefix", "/orders/"}}},
              {"action", {{"service", service}, {"timeoutS", timeout_s}, {"maxAttempts", 2}}}};
    return {
        {"version", version},
        {"limits",
         {{"maxHeaderBytes", 16'384},
          {"maxBodyBytes", 1'048'576},
          {"headerTimeoutS", 3},
          {"idleTimeoutS", 15}}},
        {"listeners", json::array({{{"host", "shop.example"}, {"rules", json::array({rule})}}})},
        {"clusters", json::array({{{"name", service}}})}};
}

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
