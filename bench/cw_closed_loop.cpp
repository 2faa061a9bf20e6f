/// Closed-loop load generator: cw_closed_loop IP:PORT PATH CONNECTIONS SECONDS. Prints requests per
/// second, median and 99th percentile of the latency in microseconds, and failed requests as CSV. A
/// failed connection attempt is not counted, and a connection that fails is not replaced.

#include "cw_address.h"
#include "cw_async.h"
#include "cw_http_message.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {

using clock_type = std::chrono::steady_clock;

struct load_state {
    cw_address target;
    std::string path;
    clock_type::time_point end_time;
    std::vector<std::chrono::microseconds> latencies;
    std::size_t failed_count = 0;
};

net::awaitable<void> send_requests(net::io_context& context, load_state& state) {
    boost::beast::tcp_stream stream{context};
    boost::system::error_code failure;
    co_await stream.async_connect(state.target.tcp(), cw_redirect_error(failure));
    stream.socket().set_option(net::ip::tcp::no_delay{true}, failure);
    while (!failure && clock_type::now() < state.end_time) {
        const auto start = clock_type::now();
        cw_http_request request{http::verb::get, state.path, 11};
        request.set("Host", "bench");
        co_await http::async_write(stream, request, cw_redirect_error(failure));
        boost::beast::flat_buffer buffer;
        cw_http_response answer;
        if (!failure) {
            co_await http::async_read(stream, buffer, answer, cw_redirect_error(failure));
        }
        if (failure || answer.result() != http::status::ok) {
            ++state.failed_count;
            continue;
        }
        state.latencies.push_back(
            std::chrono::duration_cast<std::chrono::microseconds>(clock_type::now() - start));
    }
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        std::fprintf(stderr, "usage: cw_closed_loop IP:PORT PATH CONNECTIONS SECONDS\n");
        return EXIT_FAILURE;
    }
    const std::chrono::seconds duration{std::atoi(argv[4])};
    net::io_context context{1};
    load_state state{*cw_address::parse(argv[1]), argv[2], clock_type::now() + duration, {}, 0};
    for (int i = 0; i < std::atoi(argv[3]); ++i) {
        net::co_spawn(context, send_requests(context, state), net::detached);
    }
    context.run();
    auto& sorted = state.latencies;
    std::sort(sorted.begin(), sorted.end());
    if (sorted.empty()) {
        return EXIT_FAILURE;
    }
    std::printf("%.0f,%lld,%lld,%zu\n",
                static_cast<double>(sorted.size()) / static_cast<double>(duration.count()),
                static_cast<long long>(sorted[sorted.size() / 2].count()),
                static_cast<long long>(sorted[sorted.size() * 99 / 100].count()),
                state.failed_count);
}
