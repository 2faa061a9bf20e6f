#include "cw_http_client.h"
#include "cw_platform_standin.h"
#include "cw_platform_store.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// A store client beside the platform's stand-in.
struct store_with_client {
    boost::asio::io_context context{1};
    cw_platform_standin standin{context, {boost::asio::ip::address_v4::loopback(), 27'990}};
    cw_http_client http{context};
    cw_platform_store store{http, "127.0.0.1:27990", [](const cw_error&, std::uint64_t) {}};

    store_with_client() { standin.start(); }

    cw_result<cw_upstream_change> list(std::chrono::milliseconds page_time) {
        cw_result<cw_upstream_change> listed;
        boost::asio::co_spawn(context, store.list_upstreams(page_time),
                              [&](const std::exception_ptr&, cw_result<cw_upstream_change> result) {
                                  listed = std::move(result);
                                  context.stop();
                              });
        context.run_for(5s);
        context.restart();
        return listed;
    }
};

} // namespace

TEST_CASE_FIXTURE(store_with_client, "list_of_many_pages_may_take_longer_than_one_page") {
    for (int i = 0; i < 25; ++i) {
        standin.put("servers", "i-" + std::to_string(i),
                    {{"service", "a"},
                     {"address", "10.0.0.9:8080"},
                     {"zone", "z"},
                     {"slots", 3},
                     {"state", "ready"}});
    }
    standin.set_delay(100ms);
    const auto listed = list(400ms);
    REQUIRE(listed);
    CHECK(listed->written.size() == 25);
    standin.set_delay(800ms);
    CHECK_FALSE(list(400ms));
}
