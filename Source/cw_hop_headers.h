#pragma once

#include <boost/beast/http/field.hpp>

/// Removes the fields of a message that concern one connection only.
template <typename Message>
void cw_remove_hop_headers(Message& message) {
    namespace http = boost::beast::http;
    message.erase(http::field::proxy_connection);
    message.erase(http::field::upgrade);
    message.erase(http::field::te);
    message.erase("Keep-Alive");
}
