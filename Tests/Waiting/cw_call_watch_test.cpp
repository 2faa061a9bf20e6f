#include "cw_call_watch.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <memory>
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
    std::shared_ptr<cw_caller_watch> caller_watch =
        std::make_shared<cw_caller_watch>(server_side, pipelined);

    watched_call() {
        tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
        caller_side.connect(acceptor.local_endpoint());
        server_side = acceptor.accept();
        caller_watch->start([this] { ++inputs; });
    }

    ~watched_call() { caller_watch->stop(); }
    watched_call(const watched_call&) = delete;
    watched_call& operator=(const watched_call&) = delete;

    /// Number of times that the watch reported bytes.
    int inputs = 0;

    /// Sends bytes from the caller.
    void send_bytes(std::size_t count) {
        boost::asio::write(caller_side, boost::asio::buffer(std::string(count, 'x')));
    }
};

} // namespace

TEST_CASE_FIXTURE(watched_call, "polling_does_not_report_a_waiting_caller_as_left") {
    cw_call_watch watch{context, caller_watch};
    CHECK(!watch.poll_caller_left());
    send_bytes(100);
    server_side.wait(tcp::socket::wait_read);
    CHECK(!watch.poll_caller_left());
}

TEST_CASE_FIXTURE(watched_call,
                  "polling_detects_a_caller_that_left_after_sending_pipelined_bytes") {
    cw_call_watch watch{context, caller_watch};
    send_bytes(5'000);
    caller_side.close();
    server_side.wait(tcp::socket::wait_read);
    CHECK(watch.poll_caller_left());
}

TEST_CASE_FIXTURE(watched_call, "pipelined_bytes_are_buffered_up_to_a_limit") {
    cw_call_watch watch{context, caller_watch};
    for (int i = 0; i < 30; ++i) {
        send_bytes(1'000);
        server_side.wait(tcp::socket::wait_read);
        CHECK(!watch.poll_caller_left());
    }
    CHECK(pipelined.size() > 1'000);
    CHECK(pipelined.size() <= 16'384);
}

// Guards against a request that arrived on an overloaded host and is not read ahead, because a poll
// for the caller's disconnect took its bytes.
TEST_CASE_FIXTURE(watched_call, "bytes_read_by_a_poll_are_reported") {
    cw_call_watch watch{context, caller_watch};
    send_bytes(100);
    server_side.wait(tcp::socket::wait_read);
    CHECK(!watch.poll_caller_left());
    CHECK(inputs == 1);
    CHECK(!watch.poll_caller_left());
    CHECK(inputs == 1);
}

// Guards against requests of one connection of which only the one that polls is cancelled.
TEST_CASE_FIXTURE(watched_call, "caller_that_left_ends_all_calls_of_its_connection") {
    cw_call_watch first{context, caller_watch};
    cw_call_watch second{context, caller_watch};
    tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket upstream{context};
    upstream.connect(acceptor.local_endpoint());
    second.watch_socket(upstream, std::chrono::steady_clock::now() + std::chrono::seconds{5});
    caller_side.shutdown(tcp::socket::shutdown_send);
    server_side.wait(tcp::socket::wait_read);
    CHECK(first.poll_caller_left());
    CHECK(second.has_caller_left());
    CHECK(caller_watch->has_caller_left());
    CHECK(!upstream.is_open());
    CHECK(!second.has_timed_out());
}

// Guards against requests that go on for nobody when a response before them closes the connection.
TEST_CASE_FIXTURE(watched_call, "cancelled_calls_end_although_the_caller_is_there") {
    cw_call_watch watch{context, caller_watch};
    tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket upstream{context};
    upstream.connect(acceptor.local_endpoint());
    watch.watch_socket(upstream, std::chrono::steady_clock::now() + std::chrono::seconds{5});
    caller_watch->cancel_calls();
    CHECK(watch.has_caller_left());
    CHECK(!caller_watch->has_caller_left());
    CHECK(!upstream.is_open());
}

// Guards against a watch that outlives the session's socket and reads from it.
TEST_CASE_FIXTURE(watched_call, "stopped_watch_reads_no_more") {
    cw_call_watch watch{context, caller_watch};
    caller_watch->stop();
    send_bytes(100);
    server_side.wait(tcp::socket::wait_read);
    CHECK(!watch.poll_caller_left());
    CHECK(pipelined.size() == 0);
    CHECK(inputs == 0);
}
