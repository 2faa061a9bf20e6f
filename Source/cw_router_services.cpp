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

void take_routes(cw_router_shared& shared, const std::string& text) {
    const auto present = shared.view();
    const auto view = cw_route_view::parse(text, present.get());
    if (!view) {
        cw_log{"router"}.warning("Routes are not taken.", {{"error", view.error().text()}});
        return;
    }
    const auto version = (*view)->config().version;
    if (present == nullptr || present->config().version < version) {
        shared.timeline().add({"config-in-force", "version " + std::to_string(version), ""},
                              std::chrono::system_clock::now());
    }
    shared.crashes().set_shared((*view)->crashes(), std::chrono::steady_clock::now());
    shared.set_view(*view);
}

/// Sends what the keeper should know; what could not be sent is sent next time.
class reporter {
public:
    reporter(cw_router_shared& shared, const cw_router_options& options,
             std::vector<cw_traffic_context*> traffic)
        : shared_{shared},
          client_{options.keeper_rpc, report_timeout},
          traffic_{std::move(traffic)} {}

    void report() {
        const auto loads = collect_loads();
        const auto events = shared_.timeline().events_after(last_event_);
        std::string result;
        const auto text = nlohmann::json{{"loads", loads}, {"events", events}}.dump();
        if (client_.call("report", text, result) && !events.empty()) {
            last_event_ = events.back().at("sequence").get<std::uint64_t>();
        }
    }

    /// Passes on what was learnt of a request that crashes upstreams.
    void report_crash(std::uint64_t fingerprint, const std::string& address, bool answered) {
        const nlohmann::json crash{
            {"fingerprint", fingerprint}, {"address", address}, {"answered", answered}};
        std::string result;
        if (!client_.call("crash", crash.dump(), result)) {
            cw_log{"router"}.warning("A crash is not reported.", {{"error", result}});
        }
    }

private:
    /// For each service the counts by slice and by hot key, each as [position, count].
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
    std::uint64_t last_event_ = 0;
};

} // namespace

void cw_start_router_control(cw_kernel& kernel, cw_router_shared& shared) {
    kernel.add(
        "control",
        kernel.system().spawn<caf::detached>([&shared](caf::event_based_actor*) -> caf::behavior {
            return {[&shared](const std::string& text) { take_routes(shared, text); }};
        }));
}

void cw_start_router_report(cw_kernel& kernel, cw_router_shared& shared,
                            const cw_router_options& options,
                            std::vector<cw_traffic_context*> traffic) {
    auto state = std::make_shared<reporter>(shared, options, std::move(traffic));
    kernel.add("report", kernel.system().spawn<caf::detached>([state](caf::event_based_actor* self)
                                                                  -> caf::behavior {
        self->delayed_send(self, report_interval, tick_atom::value);
        return {[state, self](tick_atom) {
                    self->delayed_send(self, report_interval, tick_atom::value);
                    state->report();
                },
                [state](std::uint64_t fingerprint, const std::string& address, bool answered) {
                    state->report_crash(fingerprint, address, answered);
                }};
    }));
    shared.crashes().set_reporter(
        [&kernel](std::uint64_t fingerprint, const std::string& address, bool answered) {
            caf::anon_send(kernel.find("report"), fingerprint, address, answered);
        });
}
