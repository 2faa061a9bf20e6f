/// cuminwinch-keeper: membership, leases and ownership tables of one failure domain's entry host.

#include "cw_keeper_io.h"
#include "cw_kernel.h"
#include "cw_rpc_server.h"
#include "cw_settings.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

namespace {

std::optional<std::string> check_timing_settings(const cw_settings& settings) {
    const cw_timings defaults;
    const auto lease = settings.milliseconds("lease-ms");
    const auto min_lease = 2 * settings.milliseconds("renewal-ms") + defaults.suspicion_timeout / 2;
    if (lease < min_lease) {
        return "--lease-ms is " + std::to_string(lease.count()) +
               "; with this --renewal-ms it must be at least " + std::to_string(min_lease.count());
    }
    const auto tenure = settings.milliseconds("tenure-ms");
    const auto min_tenure =
        2 * defaults.promise_request_interval + defaults.promise_request_interval / 2;
    if (tenure < min_tenure) {
        return "--tenure-ms is " + std::to_string(tenure.count()) + "; it must be at least " +
               std::to_string(min_tenure.count());
    }
    return std::nullopt;
}

void declare_settings(cw_settings& settings) {
    const cw_timings defaults;
    settings.add_text("host", "Id of this entry host in the platform's host list");
    settings.add_text("domain", "Failure domain of this host");
    settings.add_address("listen", "IP:PORT for HTTP (TCP) and for other keepers (UDP)");
    settings.add_number("rpc-port", "TCP port of the JSON-RPC interface", 1, 65'535, 7'800);
    settings.add_address("platform", "IP:PORT of the platform's store and host list");
    settings.add_number("renewal-ms", "Interval between lease renewals", 20, 10'000,
                        defaults.renewal_interval.count());
    settings.add_number("lease-ms", "Length of a lease", 50, 60'000,
                        defaults.lease_duration.count());
    settings.add_number("tenure-ms", "Length of a tenure", 50, 60'000,
                        defaults.tenure_duration.count());
    settings.add_choice("log-level", "Minimum level that is logged",
                        {"debug", "info", "warning", "error"}, "info");
    settings.add_rule(check_timing_settings);
}

cw_keeper_options options_from(const cw_settings& settings) {
    cw_keeper_options options;
    options.host = settings.text("host");
    options.domain = settings.text("domain");
    options.listen = *cw_address::parse(settings.text("listen"));
    options.rpc_port = static_cast<std::uint16_t>(settings.number("rpc-port"));
    options.platform = settings.text("platform");
    options.timings.renewal_interval = settings.milliseconds("renewal-ms");
    options.timings.lease_duration = settings.milliseconds("lease-ms");
    options.timings.tenure_duration = settings.milliseconds("tenure-ms");
    return options;
}

/// Microseconds since the Unix epoch, so that later runs on one host get higher numbers.
std::uint64_t new_incarnation() {
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

std::string accept_report(cw_keeper_io& io, const std::string& text) {
    const auto report = nlohmann::json::parse(text);
    for (const auto& [service, counts] : report.at("loads").items()) {
        cw_router_load_event event;
        event.service = service;
        event.load.slices = counts.at("slices").get<cw_position_rates>();
        event.load.keys = counts.at("keys").get<cw_position_rates>();
        io.deliver(std::move(event));
    }
    for (const auto& event : report.at("events")) {
        io.timeline().add_external(event);
    }
    return "{}";
}

std::string accept_crash(cw_keeper_io& io, const std::string& text) {
    const auto crash = nlohmann::json::parse(text);
    io.deliver(cw_crash_event{crash.at("fingerprint").get<std::uint64_t>(),
                              crash.at("address").get<std::string>(),
                              crash.at("answered").get<bool>()});
    return "{}";
}

void run(const cw_keeper_options& options) {
    boost::asio::io_context context{1};
    cw_kernel kernel;
    cw_keeper_io io{context, kernel, options, new_incarnation()};
    io.start();
    const cw_rpc_server rpc{
        options.rpc_port,
        {{"status", [&](const std::string&) { return io.status(); }},
         {"timeline",
          [&](const std::string&) {
              return nlohmann::json{{"events", io.timeline().events_after(0)}}.dump();
          }},
         {"report", [&](const std::string& report) { return accept_report(io, report); }},
         {"crash", [&](const std::string& crash) { return accept_crash(io, crash); }}}};
    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&](const boost::system::error_code& failure, int) {
        if (!failure) {
            io.begin_stop();
        }
    });
    context.run();
    kernel.stop();
}

} // namespace

int main(int argc, char** argv) {
    cw_settings settings{"cuminwinch-keeper", "Keeps membership, leases and ownership tables."};
    declare_settings(settings);
    if (const auto code = settings.parse(argc, argv)) {
        return *code;
    }
    const auto options = options_from(settings);
    cw_log::configure(cw_log::parse_level(settings.text("log-level")));
    try {
        run(options);
    } catch (const std::exception& failure) {
        std::cerr << "cuminwinch-keeper: start: " << failure.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
