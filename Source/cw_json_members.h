#pragma once

#include "cw_error.h"
#include "cw_http_message.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

/// Reads JSON that another program has written, and that may be malformed in any way.

/// The value of a JSON text; discarded if it is invalid or nested too deeply.
[[nodiscard]] nlohmann::json cw_parse_json(std::string_view text);
/// The JSON object in a response with status 200; otherwise an error of the given step.
[[nodiscard]] cw_result<nlohmann::json>
cw_parse_json_response(const char* step, const std::string& peer,
                       const cw_result<cw_http_response>& response);

/// A list in a response, of which some elements could not be parsed.
struct cw_json_list {
    /// The response's object; its array holds the elements that could be parsed.
    nlohmann::json answer;
    /// Names of the others.
    std::vector<std::string> unreadable;
};
/// Like cw_parse_json_response(), but an element of the array that cannot be parsed does not
/// prevent the others from being parsed. `name_of` finds a name in the text of such an element.
[[nodiscard]] cw_result<cw_json_list>
cw_parse_json_list(const char* step, const std::string& peer,
                   const cw_result<cw_http_response>& response, const char* array_name,
                   std::string (*name_of)(std::string_view));

/// A member of an object; a JSON null when there is none, or when the value is no object.
[[nodiscard]] const nlohmann::json& cw_json_member(const nlohmann::json& object, const char* name);
/// An unsigned number in an object; 0 when there is none.
[[nodiscard]] std::uint64_t cw_json_number(const nlohmann::json& object, const char* name);
/// An array member of an object; empty when there is none.
[[nodiscard]] const nlohmann::json& cw_json_array(const nlohmann::json& object, const char* name);
/// Takes a member out of an object; null when there is none. A copy of a configuration costs as
/// much as decoding it.
[[nodiscard]] nlohmann::json cw_take_json_member(nlohmann::json& object, const char* name);
/// The same for an array; empty when there is none.
[[nodiscard]] nlohmann::json cw_take_json_array(nlohmann::json& object, const char* name);
