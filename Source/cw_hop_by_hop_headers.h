#pragma once

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

/// Removes the hop-by-hop header fields, which apply to one connection and are not forwarded.
template <typename Message>
void cw_remove_hop_by_hop_headers(Message& message) {
    namespace http = boost::beast::http;
    // The Connection field lists further hop-by-hop fields.
    std::vector<std::string> listed;
    for (const auto& name : http::token_list{message[http::field::connection]}) {
        listed.emplace_back(name.data(), name.size());
    }
    for (const auto& name : listed) {
        message.erase(name);
    }
    message.erase(http::field::proxy_connection);
    message.erase(http::field::upgrade);
    message.erase(http::field::te);
    message.erase("Keep-Alive");
}
