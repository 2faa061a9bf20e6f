#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

/// A small blocking HTTP/1.1 server and client for the stand-ins of the review.

/// Compares header names without regard to case.
struct less_ignoring_case {
    bool operator()(const std::string& left, const std::string& right) const {
        return ::strcasecmp(left.c_str(), right.c_str()) < 0;
    }
};

struct http_message {
    /// Request line or status line.
    std::string first_line;
    std::map<std::string, std::string, less_ignoring_case> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }
    /// Method of a request.
    [[nodiscard]] std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    /// Target of a request.
    [[nodiscard]] std::string target() const {
        const auto begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
    /// Status of an answer.
    [[nodiscard]] int status() const {
        return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9);
    }
};

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Reads messages from a socket one after another.
class http_reader {
public:
    explicit http_reader(int socket)
        : socket_{socket} {}

    /// The next message; nothing when the connection has ended, `until` has passed or the message
    /// is incomplete.
    std::optional<http_message> read(std::chrono::steady_clock::time_point until) {
        std::size_t head_end = 0;
        while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(until)) {
                return std::nullopt;
            }
        }
        auto message = parse_head(buffer_.substr(0, head_end));
        const auto length = static_cast<std::size_t>(
            std::strtoull(message.header("Content-Length").c_str(), nullptr, 10));
        const auto message_end = head_end + 4 + length;
        while (buffer_.size() < message_end) {
            if (!receive(until)) {
                return std::nullopt;
            }
        }
        message.body = buffer_.substr(head_end + 4, length);
        buffer_.erase(0, message_end);
        return message;
    }

private:
    bool receive(std::chrono::steady_clock::time_point until) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - std::chrono::steady_clock::now());
        pollfd input{socket_, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&input, 1, static_cast<int>(left.count())) <= 0) {
            return false;
        }
        char piece[16'384];
        const auto size = ::recv(socket_, piece, sizeof piece, 0);
        if (size <= 0) {
            return false;
        }
        buffer_.append(piece, static_cast<std::size_t>(size));
        return true;
    }

    static http_message parse_head(const std::string& head) {
        http_message message;
        std::size_t begin = head.find("\r\n");
        message.first_line = head.substr(0, begin);
        while (begin != std::string::npos) {
            begin += 2;
            const auto end = head.find("\r\n", begin);
            const auto line = head.substr(begin, end == std::string::npos ? end : end - begin);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                message.headers[line.substr(0, colon)] =
                    value == std::string::npos ? std::string{} : line.substr(value);
            }
            begin = end;
        }
        return message;
    }

    int socket_;
    std::string buffer_;
};

inline bool send_all(int socket, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline std::string to_text(const http_message& message) {
    std::string text = message.first_line + "\r\n";
    for (const auto& [name, value] : message.headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n";
    return text + message.body;
}

inline http_message make_answer(int status, std::string body = {}) {
    const auto* reason = status == 200 ? "OK" : "Answer";
    return {"HTTP/1.1 " + std::to_string(status) + " " + reason, {}, std::move(body)};
}

/// Serves each connection on a thread of its own. The handler may block. A connection closes after
/// an answer with `Connection: close`.
class http_server {
public:
    using handler = std::function<http_message(const http_message&)>;

    /// Listens on a free loopback port, or on the given one.
    explicit http_server(handler handle, std::uint16_t port = 0,
                         std::chrono::milliseconds idle_time = std::chrono::seconds{100})
        : handle_{std::move(handle)},
          idle_time_{idle_time},
          listener_{::socket(AF_INET, SOCK_STREAM, 0)} {
        const int enabled = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        auto address = loopback(port);
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(listener_, 512) != 0) {
            std::perror("cannot listen");
            std::exit(2);
        }
        socklen_t size = sizeof address;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread{[this] { accept_all(); }}.detach();
    }

    [[nodiscard]] std::uint16_t port() const { return port_; }

    /// Ends as a process does that exits: closes the listening socket and all connections.
    void close() {
        is_closed_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
        const std::scoped_lock lock{mutex_};
        for (const auto connection : connections_) {
            ::shutdown(connection, SHUT_RDWR);
        }
    }

private:
    void accept_all() {
        while (!is_closed_) {
            const int connection = ::accept(listener_, nullptr, nullptr);
            if (connection < 0) {
                return;
            }
            const int enabled = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
            {
                const std::scoped_lock lock{mutex_};
                connections_.insert(connection);
            }
            std::thread{[this, connection] { serve(connection); }}.detach();
        }
    }

    void serve(int connection) {
        http_reader reader{connection};
        while (!is_closed_) {
            const auto request = reader.read(std::chrono::steady_clock::now() + idle_time_);
            if (!request) {
                break;
            }
            const auto answer = handle_(*request);
            if (!send_all(connection, to_text(answer)) || answer.header("Connection") == "close") {
                break;
            }
        }
        const std::scoped_lock lock{mutex_};
        connections_.erase(connection);
        ::close(connection);
    }

    handler handle_;
    std::chrono::milliseconds idle_time_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> is_closed_{false};
    std::mutex mutex_;
    std::set<int> connections_;
};

/// A client's connection.
class http_connection {
public:
    http_connection() = default;
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    ~http_connection() { close(); }

    void close() {
        if (socket_ >= 0) {
            ::close(socket_);
        }
        socket_ = -1;
    }
    [[nodiscard]] bool is_open() const { return socket_ >= 0; }

    /// Connects to a loopback port, within the time.
    bool connect(std::uint16_t port, std::chrono::milliseconds within) {
        close();
        socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        auto address = loopback(port);
        if (::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            pollfd output{socket_, POLLOUT, 0};
            int error = 0;
            socklen_t size = sizeof error;
            if (errno != EINPROGRESS || ::poll(&output, 1, static_cast<int>(within.count())) <= 0 ||
                ::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
                close();
                return false;
            }
        }
        ::fcntl(socket_, F_SETFL, 0);
        reader_.emplace(socket_);
        return true;
    }

    /// Sends a request and reads its answer until the moment. Closes the connection when there is
    /// none.
    std::optional<http_message> exchange(const http_message& request,
                                         std::chrono::steady_clock::time_point until) {
        if (!send_all(socket_, to_text(request))) {
            close();
            return std::nullopt;
        }
        auto answer = reader_->read(until);
        if (!answer || answer->header("Connection") == "close") {
            close();
        }
        return answer;
    }

private:
    int socket_ = -1;
    std::optional<http_reader> reader_;
};
