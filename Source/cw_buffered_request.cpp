#include "cw_buffered_request.h"

#include "cw_request_validation.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace http = boost::beast::http;

cw_buffered_request cw_parse_buffered_request(const boost::beast::flat_buffer& buffer,
                                              const cw_caller_limits& limits) {
    using state = cw_buffered_request::state;
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    parser.eager(true);
    cw_buffered_request parsed;
    boost::system::error_code failure;
    std::size_t added = 1;
    while (!failure && !parser.is_done() && added != 0 && parsed.bytes < buffer.size()) {
        added = parser.put(boost::asio::buffer(buffer.data() + parsed.bytes), failure);
        parsed.bytes += added;
    }
    const bool is_malformed = failure && failure != http::error::need_more;
    const bool is_invalid =
        parser.is_header_done() && (cw_validate_request(parser.get(), parser.chunked()) ||
                                    parser.get().find(http::field::expect) != parser.get().end());
    if (is_malformed || is_invalid) {
        parsed.arrived = state::not_ahead;
    } else if (parser.is_done()) {
        parsed.arrived = state::complete;
        parsed.request = parser.release();
    }
    return parsed;
}
