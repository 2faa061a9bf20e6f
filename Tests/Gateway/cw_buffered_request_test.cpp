#include "cw_buffered_request.h"

#include <boost/asio/buffer.hpp>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using state = cw_buffered_request::state;

namespace {

const std::string host = "Host: shop.example\r\n";

/// What is found in a buffer with these bytes.
cw_buffered_request parse(const std::string& bytes) {
    boost::beast::flat_buffer buffer;
    buffer.commit(
        boost::asio::buffer_copy(buffer.prepare(bytes.size()), boost::asio::buffer(bytes)));
    cw_caller_limits limits;
    limits.max_header_bytes = 2'000;
    limits.max_body_bytes = 100;
    const auto parsed = cw_parse_buffered_request(buffer, limits);
    CHECK(buffer.size() == bytes.size());
    return parsed;
}

} // namespace

// Guards against a request that starts before all of it is there, or with bytes of the next one.
TEST_CASE("buffered_request_cut_at_each_byte_is_complete_at_its_end_only") {
    const std::string with_body = "POST /a HTTP/1.1\r\n" + host + "Content-Length: 4\r\n\r\nbody";
    const std::string chunked =
        "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    const std::string without_body = "GET /a HTTP/1.1\r\n" + host + "\r\n";
    for (const auto& request : {with_body, chunked, without_body}) {
        for (std::size_t cut = 0; cut <= request.size(); ++cut) {
            CAPTURE(request.substr(0, cut));
            const auto parsed = parse(request.substr(0, cut));
            CHECK(parsed.arrived == (cut == request.size() ? state::complete : state::incomplete));
        }
        const auto parsed = parse(request + without_body);
        CHECK(parsed.arrived == state::complete);
        CHECK(parsed.bytes == request.size());
        CHECK(parsed.request.body() == (request == without_body ? "" : "body"));
    }
}

// Guards against an error answer ahead of the answers that are due before it.
TEST_CASE("buffered_request_that_is_invalid_is_not_read_ahead") {
    const std::vector<std::string> invalid{
        "BAD\r\n\r\n",
        "GET /a HTTP/1.1\r\n\r\n",
        "GET /a HTTP/1.1\r\n" + host + host + "\r\n",
        "POST /a HTTP/1.1\r\n" + host + "Content-Length: x\r\n\r\n",
        "POST /a HTTP/1.1\r\n" + host + "Content-Length: 101\r\n\r\n",
        "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET /a HTTP/1.1\r\n" + host + "X-Long: " + std::string(2'100, 'a')};
    for (const auto& bytes : invalid) {
        CAPTURE(bytes);
        CHECK(parse(bytes).arrived == state::not_ahead);
    }
}

// Guards against a caller that waits for "100 Continue" behind requests that take long.
TEST_CASE("buffered_request_whose_caller_waits_for_an_interim_answer_is_not_read_ahead") {
    const auto head = "POST /a HTTP/1.1\r\n" + host + "Expect: 100-continue\r\n";
    CHECK(parse(head + "Content-Length: 4\r\n\r\n").arrived == state::not_ahead);
    CHECK(parse(head + "Content-Length: 4\r\n\r\nbody").arrived == state::not_ahead);
}
