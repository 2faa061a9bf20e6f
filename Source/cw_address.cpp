#include "cw_address.h"

#include <charconv>

std::optional<cw_address> cw_address::parse(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    cw_address result;
    boost::system::error_code failure;
    result.ip = boost::asio::ip::make_address(std::string{text.substr(0, colon)}, failure);
    const auto digits = text.substr(colon + 1);
    const auto* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, result.port);
    if (failure || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return result;
}
