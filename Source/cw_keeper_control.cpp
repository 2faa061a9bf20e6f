#include "cw_keeper_control.h"

#include "cw_caf_messages.h"
#include "cw_host_list.h"
#include "cw_kernel.h"

#include <algorithm>
#include <caf/event_based_actor.hpp>
#include <cmath>
#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using tick_atom = caf::atom_constant<caf::atom("tick")>;

constexpr auto tick_interval = 20ms;
constexpr auto status_interval = 500ms;

/// State of the control service. Used only on the service's own thread.
class control_state {
public:
    control_state(cw_kernel& kernel, const cw_keeper_options& options, std::uint64_t incarnation)
        : kernel_{kernel},
          core_{cw_ring_member{options.host, incarnation}, options.domain, options.timings} {}

    void handle(caf::event_based_actor* self, const cw_keeper_event& event) {
        const auto now = std::chrono::steady_clock::now();
        auto output = std::make_shared<cw_keeper_output>();
        output->commands = core_.decide(event, now);
        const bool changed =
            std::holds_alternative<cw_hosts_event>(event) ||
            std::holds_alternative<cw_config_event>(event) ||
            std::any_of(output->commands.begin(), output->commands.end(), [](const auto& command) {
                return std::holds_alternative<cw_publish_command>(command);
            });
        if (changed) {
            add_changes(*output);
        }
        if (now >= next_status_) {
            next_status_ = now + status_interval;
            output->status = std::make_shared<const std::string>(status(now));
        }
        if (!output->commands.empty() || output->watched || output->routes || output->status) {
            self->send(kernel_.find("io"), cw_keeper_output_ptr{std::move(output)});
        }
    }

private:
    void add_changes(cw_keeper_output& output) {
        auto keys = core_.watched_keys();
        if (keys != watched_) {
            watched_ = keys;
            output.watched = std::make_shared<const std::vector<std::string>>(std::move(keys));
        }
        auto text = routes();
        if (text != routes_) {
            routes_ = text;
            output.routes = std::make_shared<const std::string>(std::move(text));
        }
    }

    std::string routes() const {
        auto tables = nlohmann::json::array();
        for (const auto& [service, stored] : core_.context().tables()) {
            tables.push_back(stored.table.to_json());
        }
        auto hosts = nlohmann::json::array();
        for (const auto& [id, host] : core_.context().hosts()) {
            hosts.push_back(cw_host_to_json(host));
        }
        return nlohmann::json{
            {"tables", tables}, {"hosts", hosts}, {"crashes", core_.crashes().counts()}}
            .dump();
    }

    std::string status(cw_time_point now) const {
        const auto& membership = core_.membership();
        const auto& context = core_.context();
        auto upstreams = nlohmann::json::array();
        for (const auto& [id, lease] : core_.leases().leases()) {
            const bool is_renewed_here = core_.leases().is_responsible(id, now);
            upstreams.push_back({{"id", id},
                                 {"renewed_here", is_renewed_here},
                                 {"healthy", core_.leases().is_healthy(id, now)},
                                 {"condemned", core_.upstream_failover().is_failing_over(id)},
                                 {"fence", lease.held_fence}});
        }
        auto epochs = nlohmann::json::object();
        auto rates = nlohmann::json::object();
        for (const auto& [service, stored] : context.tables()) {
            epochs[service] = stored.table.epoch();
            rates[service] = std::lround(core_.balancer().load(service).total());
        }
        return nlohmann::json{
            {"host", context.self().host},
            {"domain", context.domain()},
            {"config_version", context.config() == nullptr ? 0 : context.config()->version},
            {"member", membership.is_member()},
            {"alive_members", membership.alive_members(now)},
            {"may_grant", membership.may_grant(cw_partition_policy::hold, now)},
            {"tables", epochs},
            {"requests_per_second", rates},
            {"upstreams", upstreams}}
            .dump();
    }

    cw_kernel& kernel_;
    cw_keeper_core core_;
    std::vector<std::string> watched_;
    std::string routes_;
    cw_time_point next_status_{};
};

} // namespace

caf::actor cw_start_keeper_control(cw_kernel& kernel, const cw_keeper_options& options,
                                   std::uint64_t incarnation) {
    auto state = std::make_shared<control_state>(kernel, options, incarnation);
    return kernel.system().spawn<caf::detached>([state](
                                                    caf::event_based_actor* self) -> caf::behavior {
        self->delayed_send(self, tick_interval, tick_atom::value);
        return {[state, self](tick_atom) {
                    self->delayed_send(self, tick_interval, tick_atom::value);
                    state->handle(self, cw_tick_event{});
                },
                [state, self](const cw_keeper_event_ptr& event) { state->handle(self, *event); }};
    });
}
