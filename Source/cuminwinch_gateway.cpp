/// cuminwinch-gateway: a reverse proxy that forwards each caller's request to the upstream that
/// owns the request's key. The gateways of all hosts together assign the keys to the upstreams.

#include "cw_gateway.h"
#include "cw_platform.h"
#include "cw_settings.h"

#include <exception>
#include <iostream>

namespace {

void declare_settings(cw_settings& settings) {
    settings.add_text("settings", "Path of the JSON file with this process's settings");
    settings.add_choice("log-level", "Minimum level that is logged",
                        {"debug", "info", "warning", "error"}, "info");
}

} // namespace

int main(int argc, char** argv) {
    cw_settings settings{"cuminwinch-gateway",
                         "Routes callers' requests on the platform and manages key ownership."};
    declare_settings(settings);
    if (const auto exit_code = settings.parse(argc, argv)) {
        return *exit_code;
    }
    cw_settings_file settings_file{settings.text("settings")};
    const auto options = settings_file.read();
    if (!options) {
        for (const auto& error_text : options.error()) {
            std::cerr << "cuminwinch-gateway: " << settings.text("settings") << ": " << error_text
                      << '\n';
        }
        return cw_exit_usage;
    }
    cw_log::configure(cw_log::parse_level(settings.text("log-level")));
    try {
        cw_gateway<cw_platform> gateway{*options, settings_file};
        gateway.run();
    } catch (const std::exception& failure) {
        std::cerr << "cuminwinch-gateway: start: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
