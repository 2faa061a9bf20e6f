#include "cw_config_folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

cw_result<std::vector<cw_config_file>> cw_read_config_folder(const std::string& folder) {
    std::vector<cw_config_file> files;
    std::error_code failure;
    for (const auto& entry : std::filesystem::directory_iterator{folder, failure}) {
        if (entry.path().extension() != ".toml") {
            continue;
        }
        std::ifstream stream{entry.path(), std::ios::binary};
        std::ostringstream text;
        text << stream.rdbuf();
        if (!stream) {
            return tl::unexpected(cw_error{"read folder", entry.path().string(), "cannot be read"});
        }
        files.push_back({entry.path().filename().string(), text.str()});
    }
    if (failure) {
        return tl::unexpected(cw_error{"read folder", folder, failure.message()});
    }
    if (files.empty()) {
        return tl::unexpected(cw_error{"read folder", folder, "the folder contains no .toml file"});
    }
    std::sort(files.begin(), files.end(),
              [](const auto& left, const auto& right) { return left.name < right.name; });
    return files;
}
