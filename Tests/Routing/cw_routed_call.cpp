#include "cw_routed_call.h"

#include "cw_header_names.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

namespace net = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {

/// An address with a free port. The router's threads share a listening port, so with a fixed port
/// two test programs that run at the same time would share it, too.
cw_address free_address() {
    net::io_context context;
    const net::ip::tcp::acceptor probe{context, {net::ip::address_v4::loopback(), 0}};
    return {net::ip::address_v4::loopback(), probe.local_endpoint().port()};
}

std::shared_ptr<const cw_route_view> make_view(const std::string& address) {
    const std::string text = R"([[firm]]
name = "hayashida"
[[domain]]
name = "hakata"
firm = "hayashida"
region = "kyushu"
[[service]]
name = "gallery"
firm = "hayashida"
prefix = "/gallery/"
slots = 8
)";
    const cw_upstream_location location{"gallery-1", "hakata", address};
    const auto table = cw_slice_table::initial("gallery", {&location, 1}, 1);
    const nlohmann::json routes{
        {"run", 1},
        {"revision", 1},
        {"config_version", 1},
        {"files", nlohmann::json::array({nlohmann::json::array({"hayashida.toml", text})})},
        {"tables", {table.to_json()}},
        {"hosts", nlohmann::json::array()}};
    return *cw_route_view::parse(routes.dump(), nullptr);
}

http::request<http::string_body> make_request(const std::string& method, const std::string& target,
                                              std::chrono::milliseconds deadline) {
    http::request<http::string_body> request{http::string_to_verb(method), target, 11};
    request.set(http::field::host, "test");
    request.set(cw_header_deadline_ms, std::to_string(deadline.count()));
    request.prepare_payload();
    return request;
}

} // namespace

cw_routed_call::cw_routed_call(cw_raw_upstream::script answer)
    : upstream_{std::make_unique<cw_raw_upstream>(std::move(answer))},
      shared_{"entry-1", "hakata", 1'000},
      listen_{free_address()} {
    shared_.crash_filter().set_reporter([](std::uint64_t, const std::string&, bool) {});
    shared_.set_view(make_view(upstream_->address()));
    thread_ = std::make_unique<cw_traffic_thread>(shared_, listen_, true);
    thread_->start();
}

cw_routed_call::~cw_routed_call() {
    thread_->stop();
}

cw_observed_answer cw_routed_call::call(const std::string& method, const std::string& target,
                                        std::chrono::milliseconds deadline) {
    net::io_context context;
    net::ip::tcp::socket socket{context};
    socket.connect(listen_.tcp());
    http::write(socket, make_request(method, target, deadline));
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code failure;
    http::read(socket, buffer, parser, failure);
    cw_observed_answer result;
    result.is_complete = !failure && parser.is_done();
    if (parser.is_header_done()) {
        result.status = parser.get().result_int();
        result.outcome = std::string{parser.get()[cw_header_outcome]};
        const std::string retry_after{parser.get()[cw_header_retry_after_ms]};
        result.retry_after_ms = retry_after.empty() ? 0 : std::stoll(retry_after);
    }
    result.body = parser.get().body();
    return result;
}

void cw_routed_call::call_and_leave(const std::string& target, std::chrono::milliseconds after) {
    net::io_context context;
    net::ip::tcp::socket socket{context};
    socket.connect(listen_.tcp());
    http::write(socket, make_request("POST", target, 10s));
    std::this_thread::sleep_for(after);
}

net::io_context& cw_routed_call::context() {
    return thread_->traffic().context;
}

void cw_routed_call::block_thread(std::chrono::milliseconds length) {
    net::post(thread_->traffic().context, [length] { std::this_thread::sleep_for(length); });
}
