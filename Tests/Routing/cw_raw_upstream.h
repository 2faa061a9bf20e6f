#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// An upstream that answers with any bytes a test wants, also with wrong ones.
class cw_raw_upstream {
public:
    /// What is sent for one request, and whether the connection ends after it.
    struct reply {
        std::string bytes;
        bool closes_connection = false;
        std::chrono::milliseconds delay{0};
        /// Sent again and again behind the bytes until the other side ends the connection.
        std::string endless = {};
        std::chrono::milliseconds endless_interval{0};
        /// The connection is reset behind the bytes, after a moment in which they can arrive.
        bool resets_connection = false;
    };
    /// Takes the whole request as text.
    using script = std::function<reply(const std::string&)>;

    explicit cw_raw_upstream(script answer);
    ~cw_raw_upstream();

    [[nodiscard]] std::string address() const;
    /// Requests that arrived.
    [[nodiscard]] std::size_t requests() const { return requests_; }
    /// Bytes of endless answers that were taken, and such answers that the other side has ended.
    [[nodiscard]] std::size_t endless_bytes() const { return endless_bytes_; }
    [[nodiscard]] std::size_t endless_ended() const { return endless_ended_; }
    /// Connections that the router ended while an answer was due.
    [[nodiscard]] std::size_t cancelled() const { return cancelled_; }

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    bool is_connected_after(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds length);

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    script answer_;
    std::atomic<std::size_t> requests_{0};
    void send_repeatedly(boost::asio::ip::tcp::socket& socket, const reply& response);

    std::atomic<std::size_t> endless_bytes_{0};
    std::atomic<std::size_t> endless_ended_{0};
    std::atomic<std::size_t> cancelled_{0};
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<std::jthread> threads_;
    std::jthread acceptor_thread_;
};
