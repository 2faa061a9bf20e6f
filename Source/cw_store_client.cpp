#include "cw_store_client.h"

#include "cw_http_client.h"

#include <boost/beast/http/field.hpp>
#include <charconv>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {

using namespace std::chrono_literals;
constexpr auto watch_timeout_margin = 2s;

std::uint64_t version_of(const cw_http_response& response) {
    const auto text = response["X-Version"];
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

cw_http_request make_request(http::verb verb, const std::string& target, const std::string& peer) {
    cw_http_request request{verb, target, 11};
    request.set(http::field::host, peer);
    return request;
}

} // namespace

net::awaitable<cw_result<cw_store_value>> cw_store_client::get(std::string target,
                                                               cw_time_point deadline) {
    const auto response =
        co_await http_.request(address_, make_request(http::verb::get, target, address_), deadline);
    if (!response) {
        co_return tl::unexpected(response.error());
    }
    if (response->result() == http::status::not_found) {
        co_return cw_store_value{};
    }
    if (response->result() != http::status::ok) {
        co_return tl::unexpected(
            cw_error{"store read", address_, "status " + std::to_string(response->result_int())});
    }
    co_return cw_store_value{version_of(*response), response->body()};
}

net::awaitable<cw_result<cw_store_value>> cw_store_client::read(std::string key,
                                                                cw_time_point deadline) {
    co_return co_await get("/store/" + key, deadline);
}

net::awaitable<cw_result<cw_store_value>>
cw_store_client::watch(std::string key, std::uint64_t known, std::chrono::milliseconds wait) {
    const auto target = "/store/" + key + "?after=" + std::to_string(known) +
                        "&wait_ms=" + std::to_string(wait.count());
    co_return co_await get(target, std::chrono::steady_clock::now() + wait + watch_timeout_margin);
}

net::awaitable<cw_write_outcome> cw_store_client::write(std::string key, std::string value,
                                                        std::uint64_t expected_version,
                                                        cw_time_point deadline) {
    auto request = make_request(http::verb::put, "/store/" + key, address_);
    request.set("If-Version", std::to_string(expected_version));
    request.body() = std::move(value);
    const auto response = co_await http_.request(address_, std::move(request), deadline);
    if (!response) {
        co_return cw_write_outcome::unknown;
    }
    if (response->result() == http::status::ok) {
        co_return cw_write_outcome::done;
    }
    if (response->result() == http::status::precondition_failed) {
        co_return cw_write_outcome::conflict;
    }
    co_return cw_write_outcome::unknown;
}

net::awaitable<cw_result<std::string>> cw_store_client::hosts(cw_time_point deadline) {
    auto request = make_request(http::verb::get, "/hosts", address_);
    if (!hosts_etag_.empty()) {
        request.set(http::field::if_none_match, hosts_etag_);
    }
    const auto response = co_await http_.request(address_, std::move(request), deadline);
    if (!response) {
        co_return tl::unexpected(response.error());
    }
    if (response->result() == http::status::not_modified) {
        co_return std::string{};
    }
    if (response->result() != http::status::ok) {
        co_return tl::unexpected(
            cw_error{"host list", address_, "status " + std::to_string(response->result_int())});
    }
    hosts_etag_ = std::string{(*response)[http::field::etag]};
    co_return response->body();
}
