#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

/// HTTP/1.1 for the stand-ins of a review, on loopback addresses and one thread.
namespace review {

namespace net = boost::asio;
namespace http = boost::beast::http;
using net::ip::tcp;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;
template <typename Value>
using task = net::awaitable<Value>;

inline net::redirect_error_t<net::use_awaitable_t<>> into(boost::system::error_code& failure) {
    return net::redirect_error(net::use_awaitable, failure);
}

inline tcp::endpoint loopback(std::uint16_t port) {
    return {net::ip::address_v4::loopback(), port};
}

inline task<void> pause(net::io_context& context, milliseconds length) {
    net::steady_timer timer{context, length};
    boost::system::error_code ignored;
    co_await timer.async_wait(into(ignored));
}

inline response make_response(unsigned status, std::string body,
                              const char* type = "application/json") {
    response answer{static_cast<http::status>(status), 11};
    answer.set(http::field::content_type, type);
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

/// Closes a socket when it takes too long.
class time_limit {
public:
    time_limit(net::io_context& context, tcp::socket& socket, milliseconds length)
        : timer_{context, length} {
        timer_.async_wait([&socket, alive = std::weak_ptr<bool>{alive_}](const auto& failure) {
            if (!failure && !alive.expired()) {
                boost::system::error_code ignored;
                socket.close(ignored);
            }
        });
    }

private:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::steady_timer timer_;
};

/// A server whose end closes all its connections, as the end of a process does.
class server : public std::enable_shared_from_this<server> {
public:
    /// Returns the answer; none closes the connection without one.
    using handler = std::function<task<std::optional<response>>(request)>;

    server(net::io_context& context, tcp::endpoint address, handler handle)
        : context_{context},
          acceptor_{context},
          handle_{std::move(handle)} {
        acceptor_.open(address.protocol());
        acceptor_.set_option(net::socket_base::reuse_address{true});
        acceptor_.bind(address);
        acceptor_.listen();
    }

    void start() { net::co_spawn(context_, accept(shared_from_this()), net::detached); }

    void end() {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (auto* socket : sockets_) {
            socket->close(ignored);
        }
    }

    /// Cuts the server off: nothing that is sent to it arrives, and it sends nothing.
    void cut() { is_cut_ = true; }

    /// Ends the cut. All connections of before are reset, so what was sent on them is lost.
    void heal() {
        is_cut_ = false;
        for (auto* socket : sockets_) {
            reset(*socket);
        }
    }

    /// Time after which the server closes an idle connection.
    void set_idle_time(milliseconds length) { idle_time_ = length; }

private:
    static void reset(tcp::socket& socket) {
        boost::system::error_code ignored;
        socket.set_option(net::socket_base::linger{true, 0}, ignored);
        socket.close(ignored);
    }

    /// Waits for the end of a cut; false if the connection was open in one.
    task<bool> survives_cut(tcp::socket& socket) {
        const bool was_cut = is_cut_;
        while (is_cut_ && socket.is_open()) {
            co_await pause(context_, milliseconds{10});
        }
        co_return !was_cut && socket.is_open();
    }

    static task<void> accept(std::shared_ptr<server> self) {
        while (self->acceptor_.is_open()) {
            boost::system::error_code failure;
            auto socket = co_await self->acceptor_.async_accept(into(failure));
            if (!failure) {
                socket.set_option(tcp::no_delay{true}, failure);
                net::co_spawn(self->context_, serve(self, std::move(socket)), net::detached);
            }
        }
    }

    static task<void> serve(std::shared_ptr<server> self, tcp::socket socket) {
        self->sockets_.insert(&socket);
        boost::beast::flat_buffer buffer;
        bool is_open = co_await self->survives_cut(socket);
        while (is_open) {
            is_open = co_await self->serve_one(socket, buffer);
        }
        self->sockets_.erase(&socket);
    }

    task<bool> serve_one(tcp::socket& socket, boost::beast::flat_buffer& buffer) {
        boost::system::error_code failure;
        request message;
        {
            const time_limit limit{context_, socket, idle_time_};
            co_await http::async_read(socket, buffer, message, into(failure));
        }
        if (failure || !co_await survives_cut(socket)) {
            co_return false;
        }
        const bool keep_alive = message.keep_alive();
        auto answer = co_await handle_(std::move(message));
        if (!answer || !co_await survives_cut(socket)) {
            co_return false;
        }
        const bool stays_open = keep_alive && answer->keep_alive();
        answer->keep_alive(stays_open);
        co_await http::async_write(socket, *answer, into(failure));
        if (!stays_open) {
            socket.shutdown(tcp::socket::shutdown_send, failure);
        }
        co_return !failure && stays_open;
    }

    net::io_context& context_;
    tcp::acceptor acceptor_;
    handler handle_;
    milliseconds idle_time_{120'000};
    bool is_cut_ = false;
    std::set<tcp::socket*> sockets_;
};

/// A connection of a client, which is kept from one request to the next.
class connection {
public:
    explicit connection(net::io_context& context)
        : context_{context},
          socket_{context} {}

    [[nodiscard]] bool is_open() const { return socket_.is_open(); }

    void close() {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    /// Connects if there is no connection, sends the request and returns the complete answer; none
    /// if there is none within the time limit, and the connection is closed then.
    task<std::optional<response>> call(tcp::endpoint server, request message, milliseconds limit) {
        const time_limit within{context_, socket_, limit};
        boost::system::error_code failure;
        if (!socket_.is_open()) {
            buffer_.clear();
            co_await socket_.async_connect(server, into(failure));
            if (failure) {
                close();
                co_return std::nullopt;
            }
            socket_.set_option(tcp::no_delay{true}, failure);
        }
        message.prepare_payload();
        co_await http::async_write(socket_, message, into(failure));
        response answer;
        if (!failure) {
            co_await http::async_read(socket_, buffer_, answer, into(failure));
        }
        if (failure || !answer.keep_alive()) {
            close();
        }
        co_return failure ? std::nullopt : std::optional{std::move(answer)};
    }

private:
    net::io_context& context_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

} // namespace review
