#include "cw_settings_file.h"

#include "cw_gateway_settings.h"

#include <fstream>
#include <iterator>

namespace {
std::string text_of(const std::string& path) {
    std::ifstream file{path};
    return {std::istreambuf_iterator<char>{file}, {}};
}
} // namespace

tl::expected<cw_gateway_options, std::vector<std::string>> cw_settings_file::read() {
    text_ = text_of(path_);
    if (text_.empty()) {
        return tl::unexpected(std::vector<std::string>{path_ + " cannot be read or is empty"});
    }
    return cw_read_gateway_settings(text_);
}

bool cw_settings_file::has_changed() const {
    return text_of(path_) != text_;
}
