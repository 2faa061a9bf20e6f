#include "cw_http_client.h"
#include "cw_store_standin.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t store_port = 27'993;

/// The store stand-in and a client on the same thread.
struct store_fixture {
    boost::asio::io_context context{1};
    cw_store_standin store{context, {boost::asio::ip::address_v4::loopback(), store_port}};
    cw_http_client http{context};
    int answer_count = 0;

    store_fixture() { store.start(); }

    /// Starts a call that waits up to `wait` for the first version of the key.
    void start_watch(const std::string& key, std::chrono::milliseconds wait) {
        const auto address = "127.0.0.1:" + std::to_string(store_port);
        cw_http_request request{boost::beast::http::verb::get,
                                "/store/" + key + "?wait_ms=" + std::to_string(wait.count()), 11};
        request.set(boost::beast::http::field::host, address);
        boost::asio::co_spawn(
            context,
            http.request(address, std::move(request), std::chrono::steady_clock::now() + 5s),
            [this](const std::exception_ptr&, const cw_result<cw_http_response>&) {
                ++answer_count;
            });
    }
};

} // namespace

TEST_CASE_FIXTURE(store_fixture, "watches_of_several_keys_take_no_processor_time_while_they_wait") {
    start_watch("one", 300ms);
    start_watch("two", 320ms);
    start_watch("three", 340ms);
    const auto handler_count = context.run_for(1s);
    CHECK(answer_count == 3);
    // A call runs about 20 handlers. When watches woke one another in a loop, about 100,000 ran.
    CHECK(handler_count < 300);
}
