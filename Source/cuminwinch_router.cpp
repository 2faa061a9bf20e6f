/// cuminwinch-router: forwards each caller's request to the upstream that owns its key.

#include "cw_log.h"
#include "cw_router.h"
#include "cw_settings.h"

#include <exception>
#include <iostream>

namespace {

void declare_settings(cw_settings& settings) {
    settings.add_text("host", "Id of this entry host in the platform's host list");
    settings.add_text("domain", "Failure domain of this host");
    settings.add_address("listen", "IP:PORT where callers connect");
    settings.add_address("admin", "IP:PORT for health, readiness and metrics");
    settings.add_addresses("keepers", "IP:PORT,... of keepers, this host's own first");
    settings.add_address("keeper-rpc", "IP:PORT of the own keeper's JSON-RPC interface");
    settings.add_number("threads", "Traffic threads", 1, 64, 2);
    settings.add_number("most-requests",
                        "Maximum of requests in progress; further ones are refused", 1, 1'000'000,
                        10'000);
    settings.add_choice(
        "limits", "Limit of requests in flight per upstream: adapted to its responses, or fixed",
        {"adaptive", "fixed"}, "adaptive");
    settings.add_number("notice-ms", "Time for the load balancer to detect a shutdown", 0, 60'000,
                        1'000);
    settings.add_number("drain-ms", "Maximum wait for requests in flight at shutdown", 0, 3'600'000,
                        60'000);
    settings.add_choice("log-level", "Minimum level that is logged",
                        {"debug", "info", "warning", "error"}, "info");
}

cw_router_options options_from(const cw_settings& settings) {
    cw_router_options options;
    options.host = settings.text("host");
    options.domain = settings.text("domain");
    options.listen_address = *cw_address::parse(settings.text("listen"));
    options.admin_address = *cw_address::parse(settings.text("admin"));
    options.keeper_addresses = settings.addresses("keepers");
    options.keeper_rpc_address = settings.text("keeper-rpc");
    options.threads = static_cast<std::uint32_t>(settings.number("threads"));
    options.max_requests = static_cast<std::uint32_t>(settings.number("most-requests"));
    options.adaptive_limits = settings.text("limits") == "adaptive";
    options.deregistration_delay = settings.milliseconds("notice-ms");
    options.drain_timeout = settings.milliseconds("drain-ms");
    return options;
}

} // namespace

int main(int argc, char** argv) {
    cw_settings settings{"cuminwinch-router",
                         "Routes callers' requests to the owners of their keys."};
    declare_settings(settings);
    if (const auto code = settings.parse(argc, argv)) {
        return *code;
    }
    cw_log::configure(cw_log::parse_level(settings.text("log-level")));
    try {
        cw_router router{options_from(settings)};
        router.run();
    } catch (const std::exception& failure) {
        std::cerr << "cuminwinch-router: start: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
