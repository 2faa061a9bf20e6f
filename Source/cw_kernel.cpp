#include "cw_kernel.h"

#include <caf/actor_cast.hpp>
#include <caf/actor_registry.hpp>
#include <caf/atom.hpp>
#include <caf/exit_reason.hpp>
#include <caf/send.hpp>
#include <string>

namespace {

caf::actor_system_config& use_single_worker(caf::actor_system_config& config) {
    // Control services are detached actors with own threads, so the scheduler has little to do.
    config.set("scheduler.max-threads", 1);
    // The default policy (work stealing) polls for work thousands of times a second; this one
    // blocks until there is some.
    config.set("scheduler.policy", caf::atom("sharing"));
    return config;
}

caf::atom_value atom_of(std::string_view name) {
    return caf::atom_from_string(std::string{name});
}

} // namespace

cw_kernel::cw_kernel()
    : system_{use_single_worker(config_)} {}

void cw_kernel::add(std::string_view name, const caf::actor& service) {
    system_.registry().put(atom_of(name), caf::actor_cast<caf::strong_actor_ptr>(service));
}

caf::actor cw_kernel::find(std::string_view name) {
    return caf::actor_cast<caf::actor>(system_.registry().get(atom_of(name)));
}

void cw_kernel::stop() {
    for (const auto& [name, service] : system_.registry().named_actors()) {
        if (service) {
            caf::anon_send_exit(service, caf::exit_reason::user_shutdown);
            system_.registry().erase(name);
        }
    }
}
