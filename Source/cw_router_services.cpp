#include "cw_router_services.h"

#include "cw_kernel.h"
#include "cw_log.h"
#include "cw_router_shared.h"
#include "cw_rpc_client.h"
#include "cw_traffic_context.h"

#include <caf/event_based_actor.hpp>
#include <caf/send.hpp>
#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using tick_atom = caf::atom_constant<caf::atom("tick")>;

constexpr auto report_interval = 1s;
constexpr auto report_timeout = 500ms;

void apply_routes(cw_router_shared& shared, const std::string& text) {
    const auto current = shared.view();
    const auto view = cw_route_view::parse(text, current.get());
    if (!view) {
        cw_log{"router"}.warning("Rejected invalid routes from the keeper.",
                                 {{"error", view.error().text()}});
        return;
    }
    const auto version = (*view)->config().version;
    if (current == nullptr || current->config().version < version) {
        shared.timeline().add({"config-in-force", "version " + std::to_string(version), ""},
                              std::chrono::system_clock::now());
    }
    shared.crash_filter().set_shared_counts((*view)->crash_counts(),
                                            std::chrono::steady_clock::now());
    shared.set_view(*view);
}

/// Sends reports to the keeper on this host. Events that could not be sent are sent again with the
/// next report.
class keeper_reporter {
public:
    keeper_reporter(cw_router_shared& shared, const cw_router_options& options,
                    std::vector<cw_traffic_context*> traffic)
        : shared_{shared},
          client_{options.keeper_rpc_address, report_timeout},
          traffic_{std::move(traffic)} {}

    void send_report() {
        const auto loads = collect_loads();
        const auto events = shared_.timeline().events_after(last_reported_event_);
        std::string result;
        const auto text = nlohmann::json{{"loads", loads}, {"events", events}}.dump();
        if (client_.call("report", text, result) && !events.empty()) {
            last_reported_event_ = events.back().at("sequence").get<std::uint64_t>();
        }
    }

    /// Reports a crash, or an answer to a request that is suspected of crashing upstreams.
    void send_crash_report(std::uint64_t fingerprint, const std::string& address, bool answered) {
        const nlohmann::json crash{
            {"fingerprint", fingerprint}, {"address", address}, {"answered", answered}};
        std::string result;
        if (!client_.call("crash", crash.dump(), result)) {
            cw_log{"router"}.warning("Failed to send a crash report to the keeper.",
                                     {{"error", result}});
        }
    }

private:
    /// For each service, the counts per slice and per hot key as arrays of [position, count].
    nlohmann::json collect_loads() {
        std::map<std::string, cw_service_load> sums;
        for (auto* thread : traffic_) {
            for (const auto& [service, load] : thread->metrics.take_loads()) {
                sums[service].add(load);
            }
        }
        auto loads = nlohmann::json::object();
        for (const auto& [service, load] : sums) {
            loads[service] = {{"slices", load.slices}, {"keys", load.keys}};
        }
        return loads;
    }

    cw_router_shared& shared_;
    cw_rpc_client client_;
    std::vector<cw_traffic_context*> traffic_;
    std::uint64_t last_reported_event_ = 0;
};

} // namespace

void cw_start_router_control(cw_kernel& kernel, cw_router_shared& shared) {
    kernel.add(
        "control",
        kernel.system().spawn<caf::detached>([&shared](caf::event_based_actor*) -> caf::behavior {
            return {[&shared](const std::string& text) { apply_routes(shared, text); }};
        }));
}

void cw_start_router_report(cw_kernel& kernel, cw_router_shared& shared,
                            const cw_router_options& options,
                            std::vector<cw_traffic_context*> traffic) {
    auto state = std::make_shared<keeper_reporter>(shared, options, std::move(traffic));
    kernel.add("report", kernel.system().spawn<caf::detached>([state](caf::event_based_actor* self)
                                                                  -> caf::behavior {
        self->delayed_send(self, report_interval, tick_atom::value);
        return {[state, self](tick_atom) {
                    self->delayed_send(self, report_interval, tick_atom::value);
                    state->send_report();
                },
                [state](std::uint64_t fingerprint, const std::string& address, bool answered) {
                    state->send_crash_report(fingerprint, address, answered);
                }};
    }));
    shared.crash_filter().set_reporter(
        [&kernel](std::uint64_t fingerprint, const std::string& address, bool answered) {
            caf::anon_send(kernel.find("report"), fingerprint, address, answered);
        });
}
