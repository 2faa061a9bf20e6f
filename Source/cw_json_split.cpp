#include "cw_json_split.h"

#include <algorithm>

namespace {

/// Goes through a JSON text character by character and tracks strings and nesting.
class json_cursor {
public:
    explicit json_cursor(std::string_view text)
        : text_{text} {}

    /// Goes to the next character. False at the end of the text.
    bool advance() {
        if (next_ >= text_.size()) {
            return false;
        }
        current_ = text_[next_++];
        if (in_string_) {
            in_string_ = is_escaped_ || current_ != '"';
            is_escaped_ = !is_escaped_ && current_ == '\\';
        } else if (current_ == '"') {
            in_string_ = true;
            string_start_ = next_;
        } else if (current_ == '[' || current_ == '{') {
            ++depth_;
        } else if ((current_ == ']' || current_ == '}') && depth_ > 0) {
            --depth_;
        }
        return true;
    }

    [[nodiscard]] char current() const { return current_; }
    [[nodiscard]] bool in_string() const { return in_string_; }
    /// Nesting after the current character.
    [[nodiscard]] std::size_t depth() const { return depth_; }
    /// Position after the current character.
    [[nodiscard]] std::size_t position() const { return next_; }
    /// The string that ends with the current character.
    [[nodiscard]] std::string_view last_string() const {
        return text_.substr(string_start_, next_ - 1 - string_start_);
    }

private:
    std::string_view text_;
    std::size_t next_ = 0;
    char current_ = '\0';
    std::size_t depth_ = 0;
    bool in_string_ = false;
    bool is_escaped_ = false;
    std::size_t string_start_ = 0;
};

bool is_blank(std::string_view text) {
    return text.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

/// Goes to the opening bracket of the object's array member. False if there is none.
bool find_array(json_cursor& cursor, std::string_view member) {
    std::string_view last_string;
    bool was_in_string = false;
    while (cursor.advance()) {
        if (was_in_string && !cursor.in_string()) {
            last_string = cursor.last_string();
        }
        was_in_string = cursor.in_string();
        constexpr std::size_t array_depth = 2;
        if (!cursor.in_string() && cursor.current() == '[' && cursor.depth() == array_depth &&
            last_string == member) {
            return true;
        }
    }
    return false;
}

} // namespace

std::optional<cw_split_json> cw_split_json_array(std::string_view text, std::string_view member) {
    json_cursor cursor{text};
    if (!find_array(cursor, member)) {
        return std::nullopt;
    }
    const auto array_depth = cursor.depth();
    const auto array_start = cursor.position();
    auto element_start = array_start;
    cw_split_json split;
    while (cursor.advance()) {
        const bool is_end = !cursor.in_string() && cursor.depth() < array_depth;
        const bool is_separator =
            !cursor.in_string() && cursor.current() == ',' && cursor.depth() == array_depth;
        if (!is_end && !is_separator) {
            continue;
        }
        const auto element = text.substr(element_start, cursor.position() - 1 - element_start);
        if (!is_blank(element)) {
            split.elements.push_back(element);
        }
        element_start = cursor.position();
        if (is_end) {
            split.object = std::string{text.substr(0, array_start)} +
                           std::string{text.substr(cursor.position() - 1)};
            return split;
        }
    }
    return std::nullopt;
}

std::size_t cw_json_depth(std::string_view text) {
    json_cursor cursor{text};
    std::size_t deepest = 0;
    while (cursor.advance()) {
        deepest = std::max(deepest, cursor.depth());
    }
    return deepest;
}
