#include "cw_json_members.h"

#include "cw_json_split.h"

#include <utility>

using nlohmann::json;

namespace {

/// Nesting up to which a text is parsed. Copies and texts of deeper values take a lot of stack.
constexpr std::size_t max_json_depth = 64;

} // namespace

json cw_parse_json(std::string_view text) {
    return cw_json_depth(text) > max_json_depth ? json(json::value_t::discarded)
                                                : json::parse(text, nullptr, false);
}

cw_result<json> cw_parse_json_response(const char* step, const std::string& peer,
                                       const cw_result<cw_http_response>& response) {
    if (!response) {
        return tl::unexpected(response.error());
    }
    if (response->result() != boost::beast::http::status::ok) {
        return tl::unexpected(
            cw_error{step, peer, "status " + std::to_string(response->result_int()), true});
    }
    auto value = cw_parse_json(response->body());
    if (!value.is_object()) {
        return tl::unexpected(cw_error{step, peer, "the body is not a JSON object"});
    }
    return value;
}

cw_result<cw_json_list> cw_parse_json_list(const char* step, const std::string& peer,
                                           const cw_result<cw_http_response>& response,
                                           const char* array_name,
                                           std::string (*name_of)(std::string_view)) {
    auto answer = cw_parse_json_response(step, peer, response);
    if (answer || !response || response->result() != boost::beast::http::status::ok) {
        return answer ? cw_result<cw_json_list>{cw_json_list{std::move(*answer), {}}}
                      : tl::unexpected(answer.error());
    }
    const auto split = cw_split_json_array(response->body(), array_name);
    cw_json_list list{split ? cw_parse_json(split->object) : json(), {}};
    if (!list.answer.is_object()) {
        return tl::unexpected(answer.error());
    }
    for (const auto& text : split->elements) {
        auto element = cw_parse_json(text);
        if (element.is_discarded()) {
            list.unreadable.push_back(name_of(text));
        } else {
            list.answer[array_name].push_back(std::move(element));
        }
    }
    return list;
}

const json& cw_json_member(const json& object, const char* name) {
    static const json null_value;
    const auto found = object.find(name);
    return found != object.end() ? *found : null_value;
}

std::uint64_t cw_json_number(const json& object, const char* name) {
    const auto& member = cw_json_member(object, name);
    return member.is_number_unsigned() ? member.get<std::uint64_t>() : 0;
}

const json& cw_json_array(const json& object, const char* name) {
    static const json empty = json::array();
    const auto& member = cw_json_member(object, name);
    return member.is_array() ? member : empty;
}

json cw_take_json_member(json& object, const char* name) {
    const auto found = object.find(name);
    return found != object.end() ? std::move(*found) : json();
}

json cw_take_json_array(json& object, const char* name) {
    auto member = cw_take_json_member(object, name);
    return member.is_array() ? std::move(member) : json::array();
}
