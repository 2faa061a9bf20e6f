#include "cw_request_validation.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <iterator>

namespace http = boost::beast::http;

std::optional<cw_request_error> cw_validate_request(const http::request_header<>& header,
                                                    bool is_chunked) {
    const auto transfer_coding = header.find(http::field::transfer_encoding);
    if (transfer_coding != header.end()) {
        if (header.count(http::field::transfer_encoding) > 1 ||
            !boost::beast::iequals(transfer_coding->value(), "chunked") || !is_chunked) {
            return cw_request_error{http::status::not_implemented,
                                    "the transfer coding is not supported"};
        }
        if (header.count(http::field::content_length) != 0) {
            return cw_request_error{http::status::bad_request,
                                    "a length and a transfer coding contradict each other"};
        }
    }
    if (header.count(http::field::content_length) > 1) {
        return cw_request_error{http::status::bad_request, "there are several lengths"};
    }
    const auto hosts = header.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && header.version() >= 11)) {
        return cw_request_error{http::status::bad_request, "one host name is needed"};
    }
    const auto target = header.target();
    if (header.method() == http::verb::connect || target.empty() || target.front() != '/') {
        return cw_request_error{http::status::bad_request, "the target must be a path"};
    }
    return std::nullopt;
}

std::optional<cw_request_error> cw_parse_error(const boost::system::error_code& failure) {
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow) {
        return cw_request_error{http::status::request_header_fields_too_large,
                                "the header is too large"};
    }
    if (failure == http::error::body_limit) {
        return cw_request_error{http::status::payload_too_large, "the body is too large"};
    }
    if (failure == http::error::bad_version) {
        return cw_request_error{http::status::http_version_not_supported,
                                "only HTTP/1.1 and HTTP/1.0 are spoken here"};
    }
    const bool connection_ended =
        failure == http::error::end_of_stream || failure == http::error::partial_message;
    if (!connection_ended &&
        failure.category() == http::make_error_code(http::error::bad_method).category()) {
        return cw_request_error{http::status::bad_request, "this is no HTTP request"};
    }
    return std::nullopt;
}
