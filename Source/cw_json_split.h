#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// A JSON object whose elements of one array are separate texts, so that one element which cannot
/// be parsed does not prevent the others from being parsed.
struct cw_split_json {
    /// The object with an empty array.
    std::string object;
    /// Texts of the elements; they refer to the text that was split.
    std::vector<std::string_view> elements;
};

/// Separates the elements of the object's array member of the given name. Looks at brackets, commas
/// and strings only; nullopt if the object has no such member or ends within it.
[[nodiscard]] std::optional<cw_split_json> cw_split_json_array(std::string_view text,
                                                               std::string_view member);

/// The deepest nesting of arrays and objects in a JSON text.
[[nodiscard]] std::size_t cw_json_depth(std::string_view text);
