#include "cw_http_message.h"

#include <boost/beast/http/field.hpp>

cw_http_response cw_make_response(boost::beast::http::status status, std::string body,
                                  const char* content_type) {
    cw_http_response response{status, 11};
    response.set(boost::beast::http::field::content_type, content_type);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}
