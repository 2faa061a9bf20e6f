#include "cw_gateway_fixture.h"
#include "cw_raw_caller.h"
#include "cw_routed_call.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

/// Input that must not be forwarded as a request, and the status that answers it.
struct bad_input {
    const char* name;
    std::string bytes;
    int status;
};

const std::string get = "GET /safe/a HTTP/1.1\r\n";
const std::string post = "POST /safe/a HTTP/1.1\r\n";
const std::string host = "Host: shop.example\r\n";
const std::string smuggled_request = "GET /safe/smuggled HTTP/1.1\r\nHost: shop.example\r\n\r\n";

std::vector<bad_input> bad_inputs() {
    return {
        {"unknown transfer coding",
         post + host + "Transfer-Encoding: xchunked\r\n\r\n" + smuggled_request, 501},
        {"transfer coding gzip", post + host + "Transfer-Encoding: gzip\r\n\r\n" + smuggled_request,
         501},
        {"transfer coding identity",
         post + host + "Transfer-Encoding: identity\r\n\r\n" + smuggled_request, 501},
        {"coding before chunked", post + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
         501},
        {"chunked twice", post + host + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
         501},
        {"two transfer codings",
         post + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n", 400},
        {"length beside chunks",
         post + host + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
        {"chunks beside length",
         post + host + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400},
        {"conflicting lengths",
         post + host + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", 400},
        {"length named twice", post + host + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
         400},
        {"list of lengths", post + host + "Content-Length: 5, 6\r\n\r\nhello", 400},
        {"negative length", post + host + "Content-Length: -1\r\n\r\n", 400},
        {"length with a plus", post + host + "Content-Length: +5\r\n\r\nhello", 400},
        {"length in hexadecimal", post + host + "Content-Length: 0x5\r\n\r\nhello", 400},
        {"length of no digits", post + host + "Content-Length: five\r\n\r\n", 400},
        {"empty length", post + host + "Content-Length: \r\n\r\n", 400},
        {"length beyond all numbers",
         post + host + "Content-Length: 99999999999999999999999\r\n\r\n", 400},
        {"missing host", get + "\r\n", 400},
        {"two hosts", get + host + "Host: other.example\r\n\r\n", 400},
        {"host named twice", get + host + host + "\r\n", 400},
        {"blank before the colon", get + host + "Accept : x\r\n\r\n", 400},
        {"blank in a field's name", get + host + "Acc ept: x\r\n\r\n", 400},
        {"field without a colon", get + host + "Accept\r\n\r\n", 400},
        {"field without a name", get + host + ": x\r\n\r\n", 400},
        {"control character in a value", get + host + "Accept: a\x01z\r\n\r\n", 400},
        {"null in a value", get + host + "Accept: a" + std::string(1, '\0') + "z\r\n\r\n", 400},
        {"bare carriage return in a value", get + host + "Accept: a\rb\r\n\r\n", 400},
        {"folded first line", get + " folded\r\n" + host + "\r\n", 400},
        {"no method", " /safe/a HTTP/1.1\r\n" + host + "\r\n", 400},
        {"broken method", "G@T /safe/a HTTP/1.1\r\n" + host + "\r\n", 400},
        {"no target", "GET HTTP/1.1\r\n" + host + "\r\n", 400},
        {"empty target", "GET  HTTP/1.1\r\n" + host + "\r\n", 400},
        {"absolute target", "GET http://shop.example/safe/a HTTP/1.1\r\n" + host + "\r\n", 400},
        {"asterisk target", "OPTIONS * HTTP/1.1\r\n" + host + "\r\n", 400},
        {"connect", "CONNECT shop.example:80 HTTP/1.1\r\n" + host + "\r\n", 400},
        {"control character in the target", "GET /safe/\x02 HTTP/1.1\r\n" + host + "\r\n", 400},
        {"no version", "GET /safe/a\r\n" + host + "\r\n", 400},
        {"version 2", "GET /safe/a HTTP/2.0\r\n" + host + "\r\n", 505},
        {"version 9.9", "GET /safe/a HTTP/9.9\r\n" + host + "\r\n", 505},
        {"no version number", "GET /safe/a HTTP/x\r\n" + host + "\r\n", 505},
        {"other protocol", "SSH-2.0-OpenSSH_9.2\r\n\r\n", 400},
        {"start of TLS", std::string{"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 15},
         400},
        {"header of 64 KB", get + host + "X-Long: " + std::string(65'536, 'a') + "\r\n\r\n", 431},
        {"many fields",
         get + host +
             [] {
                 std::string fields;
                 for (int i = 0; i < 2'000; ++i) {
                     fields += "X-Field-" + std::to_string(i) + ": v\r\n";
                 }
                 return fields;
             }() +
             "\r\n",
         431},
        {"bad chunk size",
         post + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", 400},
        {"negative chunk size",
         post + host + "Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n", 400},
        {"chunk without its end",
         post + host + "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloXX0\r\n\r\n", 400},
    };
}

cw_raw_upstream::script respond_ok() {
    return [](const std::string& request) {
        return cw_raw_upstream::reply{cw_upstream_answer(
            request, "200 OK", "X-Cuminwinch-Response-Signature: s\r\n", "fine")};
    };
}

std::string replace_all(std::string text, const char* from, const std::string& to) {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, std::string{from}.size(), to);
    }
    return text;
}

void check_rejected(const bad_input& input, const std::string& answer) {
    CHECK_MESSAGE(cw_status_of(answer) == input.status, input.name << ": " << answer.substr(0, 60));
    CHECK_MESSAGE(cw_header_value(answer, "Connection") == "close", input.name);
    CHECK_MESSAGE(answer.find("(open)") == std::string::npos, input.name);
}

} // namespace

TEST_CASE("gateway_given_bad_bytes_answers_why_and_forwards_nothing") {
    cw_gateway_fixture gateway{{respond_ok()}};
    CHECK(bad_inputs().size() >= 40);
    for (const auto& input : bad_inputs()) {
        check_rejected(input, cw_send_raw(gateway.port(), {input.bytes}, 0ms, 3s));
        CHECK_MESSAGE(gateway.upstream(0).requests() == 0, input.name);
    }
}

TEST_CASE("gateway_given_a_body_over_the_limit_answers_413") {
    cw_gateway_fixture gateway{{respond_ok()}};
    const auto answer = cw_send_raw(
        gateway.port(), {post + host + "Content-Length: 20000\r\n\r\n" + std::string(20'000, 'b')},
        0ms, 3s);
    CHECK(cw_status_of(answer) == 413);
    CHECK(gateway.upstream(0).requests() == 0);
}

TEST_CASE("gateway_given_a_header_that_drips_answers_408_in_time") {
    cw_gateway_fixture gateway{{respond_ok()}};
    std::vector<std::string> single_bytes;
    for (const char letter : std::string{"GET /safe/a HTT"}) {
        single_bytes.emplace_back(1, letter);
    }
    const auto answer = cw_send_raw(gateway.port(), single_bytes, 50ms, 3s);
    CHECK(cw_status_of(answer) == 408);
    CHECK(answer.find("(open)") == std::string::npos);
}

TEST_CASE("gateway_ends_a_connection_that_stays_idle_without_an_answer") {
    cw_gateway_fixture gateway{{respond_ok()}};
    CHECK(cw_send_raw(gateway.port(), {}, 0ms, 3s).empty());
}

TEST_CASE("router_given_bad_bytes_answers_why_and_forwards_no_second_request") {
    cw_routed_call router{[](const std::string&) {
        return cw_raw_upstream::reply{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"};
    }};
    for (auto input : bad_inputs()) {
        input.bytes = replace_all(input.bytes, "/safe/", "/gallery/k/");
        check_rejected(input, cw_send_raw(router.port(), {input.bytes}, 0ms, 3s));
    }
    // The router streams bodies, so it may have sent the beginning of one whose chunks then turn
    // out to be malformed: the last three inputs.
    CHECK(router.upstream().requests() <= 3);
}
