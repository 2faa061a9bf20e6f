#include "cw_blocking_http.h"

#include "cw_http_client.h"

#include <boost/beast/http/field.hpp>

namespace http = boost::beast::http;

cw_result<std::string> cw_http_get(boost::asio::io_context& context, const std::string& address,
                                   const std::string& target, cw_time_point deadline) {
    cw_http_client client{context};
    cw_http_request request{http::verb::get, target, 11};
    request.set(http::field::host, address);
    const auto response =
        cw_run_until_complete(context, client.request(address, std::move(request), deadline));
    if (!response) {
        return tl::unexpected(response.error());
    }
    if (response->result() != http::status::ok) {
        return tl::unexpected(
            cw_error{"get " + target, address, "status " + std::to_string(response->result_int())});
    }
    return response->body();
}
