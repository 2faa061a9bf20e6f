#include "cw_call_watch.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>

using boost::asio::ip::tcp;

namespace {

/// Both ends of a caller's connection. The I/O context is not run, since on an overloaded host it
/// runs late, so a disconnect is detected only by polling.
struct watched_call {
    boost::asio::io_context context{1};
    tcp::socket server_side{context};
    tcp::socket caller_side{context};
    boost::beast::flat_buffer pipelined;

    watched_call() {
        tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
        caller_side.connect(acceptor.local_endpoint());
        server_side = acceptor.accept();
    }

    /// Sends bytes from the caller.
    void send_bytes(std::size_t count) {
        boost::asio::write(caller_side, boost::asio::buffer(std::string(count, 'x')));
    }
};

} // namespace

TEST_CASE_FIXTURE(watched_call, "polling_does_not_report_a_waiting_caller_as_left") {
    cw_call_watch watch{context, server_side, pipelined};
    CHECK(!watch.poll_caller_left());
    send_bytes(100);
    server_side.wait(tcp::socket::wait_read);
    CHECK(!watch.poll_caller_left());
}

TEST_CASE_FIXTURE(watched_call,
                  "polling_detects_a_caller_that_left_after_sending_pipelined_bytes") {
    cw_call_watch watch{context, server_side, pipelined};
    send_bytes(5'000);
    caller_side.close();
    server_side.wait(tcp::socket::wait_read);
    CHECK(watch.poll_caller_left());
}

TEST_CASE_FIXTURE(watched_call, "pipelined_bytes_are_buffered_up_to_a_limit") {
    cw_call_watch watch{context, server_side, pipelined};
    for (int i = 0; i < 30; ++i) {
        send_bytes(1'000);
        server_side.wait(tcp::socket::wait_read);
        CHECK(!watch.poll_caller_left());
    }
    CHECK(pipelined.size() > 1'000);
    CHECK(pipelined.size() <= 16'384);
}
