#pragma once

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// An IP address with a port. Host names are not resolved.
struct cw_address {
    boost::asio::ip::address ip;
    std::uint16_t port = 0;

    /// Parses "IP:port"; nullopt for any other text.
    [[nodiscard]] static std::optional<cw_address> parse(std::string_view text);
    [[nodiscard]] boost::asio::ip::tcp::endpoint tcp() const { return {ip, port}; }
    [[nodiscard]] boost::asio::ip::udp::endpoint udp() const { return {ip, port}; }
};
