#include "cw_settings_file.h"

#include "cw_gateway_settings.h"

#include <fstream>
#include <iterator>

namespace {
std::string read_text(const std::string& path) {
    std::ifstream file{path};
    return {std::istreambuf_iterator<char>{file}, {}};
}
} // namespace

tl::expected<cw_gateway_options, std::vector<std::string>> cw_settings_file::read() {
    last_text_ = read_text(path_);
    if (last_text_.empty()) {
        return tl::unexpected(std::vector<std::string>{path_ + " cannot be read or is empty"});
    }
    return cw_read_gateway_settings(last_text_);
}

bool cw_settings_file::has_changed() const {
    return read_text(path_) != last_text_;
}
