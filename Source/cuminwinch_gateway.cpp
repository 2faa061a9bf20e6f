/// cuminwinch-gateway: takes callers' requests on the users' platform and has each run by the
/// upstream that owns its key; together with the other hosts' gateways it decides who that is.

#include "cw_gateway.h"
#include "cw_platform.h"
#include "cw_settings.h"

#include <exception>
#include <iostream>

namespace {

void declare(cw_settings& settings) {
    settings.add_text("settings", "Path of the JSON file with this process's settings");
    settings.add_choice("log-level", "Least level that is logged",
                        {"debug", "info", "warning", "error"}, "info");
}

} // namespace

int main(int argc, char** argv) {
    cw_settings settings{"cuminwinch-gateway",
                         "Routes callers' requests on the platform and looks after key ownership."};
    declare(settings);
    if (const auto code = settings.parse(argc, argv)) {
        return *code;
    }
    cw_settings_file file{settings.text("settings")};
    const auto options = file.read();
    if (!options) {
        for (const auto& mistake : options.error()) {
            std::cerr << "cuminwinch-gateway: " << settings.text("settings") << ": " << mistake
                      << '\n';
        }
        return cw_exit_usage;
    }
    cw_log::configure(cw_log::parse_level(settings.text("log-level")));
    try {
        cw_gateway<cw_platform> gateway{*options, file};
        gateway.run();
    } catch (const std::exception& failure) {
        std::cerr << "cuminwinch-gateway: start: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
