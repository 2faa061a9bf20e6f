#include "cw_gateway_request_reader.h"

#include "cw_async.h"
#include "cw_gateway_traffic.h"
#include "cw_read_room.h"
#include "cw_reject_request.h"
#include "cw_socket_timeout.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {
cw_time_point now() {
    return std::chrono::steady_clock::now();
}
} // namespace

net::awaitable<bool> cw_gateway_request_reader::wait_for_request(const cw_caller_limits& limits) {
    if (buffer_.size() != 0) {
        co_return true;
    }
    const auto position =
        traffic_.idle_connections.insert(traffic_.idle_connections.end(), &caller_);
    timeout_.set(caller_, now() + limits.idle_timeout);
    boost::system::error_code failure;
    co_await caller_.async_wait(net::ip::tcp::socket::wait_read, cw_redirect_error(failure));
    traffic_.idle_connections.erase(position);
    const bool is_late = timeout_.has_expired();
    timeout_.clear();
    // A shutdown cancels the wait; a request that has already arrived is still served.
    co_return !is_late && (!failure || caller_.available(failure) != 0);
}

net::awaitable<bool> cw_gateway_request_reader::read(parser_type& parser,
                                                     const cw_caller_limits& limits,
                                                     cw_buffer_budget::buffer& memory) {
    if (!co_await wait_for_request(limits)) {
        co_return false;
    }
    boost::system::error_code failure;
    timeout_.set(caller_, now() + limits.header_timeout);
    co_await http::async_read_header(caller_, buffer_, parser, cw_redirect_error(failure));
    if (!failure) {
        if (const auto error = cw_validate_request(parser.get(), parser.chunked())) {
            timeout_.clear();
            co_await reject(*error);
            co_return false;
        }
        if (parser.get()[http::field::expect] == "100-continue") {
            http::response<http::empty_body> continue_answer{http::status::continue_, 11};
            co_await http::async_write(caller_, continue_answer, cw_redirect_error(failure));
        }
        timeout_.set(caller_, now() + transfer_timeout);
        failure = co_await read_body(parser, memory);
    }
    const bool is_late = timeout_.has_expired();
    timeout_.clear();
    if (memory.is_evicted()) {
        traffic_.metrics().increment("requests_beyond_memory");
        co_await reject(
            {http::status::service_unavailable, "this host holds too many large requests"});
        co_return false;
    }
    if (!failure) {
        co_return true;
    }
    if (is_late) {
        co_await reject({http::status::request_timeout, "the request takes too long to arrive"});
    } else if (const auto error = cw_parse_error(failure)) {
        co_await reject(*error);
    }
    co_return false;
}

net::awaitable<boost::system::error_code>
cw_gateway_request_reader::read_body(parser_type& parser, cw_buffer_budget::buffer& memory) {
    boost::system::error_code failure;
    memory.on_eviction([this] {
        boost::system::error_code ignored;
        caller_.cancel(ignored);
    });
    const auto count_memory = [&] {
        memory.resize(parser.get().body().capacity() + buffer_.capacity());
    };
    while (!failure && !parser.is_done()) {
        cw_make_read_room(buffer_, parser, cw_traffic_read_room);
        count_memory();
        if (memory.is_evicted()) {
            break;
        }
        co_await http::async_read_some(caller_, buffer_, parser, cw_redirect_error(failure));
    }
    cw_release_read_room(buffer_);
    count_memory();
    memory.on_eviction(nullptr);
    co_return failure;
}

net::awaitable<void> cw_gateway_request_reader::reject(cw_request_error error) {
    traffic_.metrics().increment("rejected_requests");
    traffic_.log().info("Rejected.", {{"status", std::to_string(static_cast<int>(error.status))},
                                      {"reason", error.reason}});
    timeout_.set(caller_, now() + linger_time);
    co_await cw_reject_request(caller_, error);
    timeout_.clear();
}
