#include "cw_call_watch.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <string>

using boost::asio::ip::tcp;

namespace {

/// Both ends of a caller's connection, on a host that does not come to its work.
struct watched_call {
    boost::asio::io_context context{1};
    tcp::socket near{context};
    tcp::socket far{context};
    boost::beast::flat_buffer ahead;

    watched_call() {
        tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
        far.connect(acceptor.local_endpoint());
        near = acceptor.accept();
    }

    /// The caller sends so many bytes.
    void send(std::size_t count) {
        boost::asio::write(far, boost::asio::buffer(std::string(count, 'x')));
    }
};

} // namespace

TEST_CASE_FIXTURE(watched_call, "caller_that_waits_is_not_taken_for_gone_by_a_look") {
    cw_call_watch watch{context, near, ahead};
    CHECK(!watch.look_whether_caller_left());
    send(100);
    near.wait(tcp::socket::wait_read);
    CHECK(!watch.look_whether_caller_left());
}

TEST_CASE_FIXTURE(watched_call, "caller_gone_behind_bytes_sent_ahead_is_found_by_a_look") {
    cw_call_watch watch{context, near, ahead};
    send(5'000);
    far.close();
    near.wait(tcp::socket::wait_read);
    CHECK(watch.look_whether_caller_left());
}

TEST_CASE_FIXTURE(watched_call, "bytes_sent_ahead_are_kept_in_their_order_up_to_a_bound") {
    cw_call_watch watch{context, near, ahead};
    for (int i = 0; i < 30; ++i) {
        send(1'000);
        near.wait(tcp::socket::wait_read);
        CHECK(!watch.look_whether_caller_left());
    }
    CHECK(ahead.size() > 1'000);
    CHECK(ahead.size() <= 16'384);
}
