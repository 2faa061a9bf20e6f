#include "cw_raw_caller.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <thread>

namespace net = boost::asio;

namespace {
constexpr std::chrono::milliseconds poll_interval{5};

/// Appends the bytes that have arrived; false when the peer has closed the connection.
bool read_available(net::ip::tcp::socket& socket, std::string& received) {
    std::array<char, 4'096> bytes{};
    boost::system::error_code failure;
    const auto count = socket.read_some(net::buffer(bytes), failure);
    received.append(bytes.data(), count);
    return !failure || failure == net::error::would_block;
}
} // namespace

std::string cw_send_raw(std::uint16_t port, const std::vector<std::string>& pieces,
                        std::chrono::milliseconds pause, std::chrono::milliseconds max_wait) {
    net::io_context context;
    net::ip::tcp::socket socket{context};
    socket.connect({net::ip::address_v4::loopback(), port});
    socket.non_blocking(true);
    std::string received;
    boost::system::error_code failure;
    for (const auto& piece : pieces) {
        socket.non_blocking(false);
        net::write(socket, net::buffer(piece), failure);
        socket.non_blocking(true);
        std::this_thread::sleep_for(pause);
    }
    const auto until = std::chrono::steady_clock::now() + max_wait;
    while (std::chrono::steady_clock::now() < until) {
        if (!read_available(socket, received)) {
            return received;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return received + "(open)";
}

int cw_status_of(const std::string& answer) {
    return answer.starts_with("HTTP/1.1 ") ? std::atoi(answer.c_str() + 9) : 0;
}
