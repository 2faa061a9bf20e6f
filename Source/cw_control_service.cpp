#include "cw_control_service.h"

#include "cw_gateway_messages.h"
#include "cw_kernel.h"

#include <caf/event_based_actor.hpp>

namespace {

using namespace std::chrono_literals;
using tick_atom = caf::atom_constant<caf::atom("tick")>;

constexpr auto tick_interval = 50ms;

void handle(caf::event_based_actor* self, cw_kernel& kernel, cw_gateway_control& control,
            const cw_control_event& event) {
    auto output = std::make_shared<cw_control_output>(control.decide(event, cw_boot_clock::now()));
    self->send(kernel.find("io"), cw_control_output_ptr{std::move(output)});
}

} // namespace

caf::actor cw_start_control_service(cw_kernel& kernel, cw_gateway_control control) {
    auto state = std::make_shared<cw_gateway_control>(std::move(control));
    return kernel.system().spawn<caf::detached>(
        [state, &kernel](caf::event_based_actor* self) -> caf::behavior {
            self->delayed_send(self, tick_interval, tick_atom::value);
            return {[=, &kernel](tick_atom) {
                        self->delayed_send(self, tick_interval, tick_atom::value);
                        handle(self, kernel, *state, cw_clock_tick{});
                    },
                    [=, &kernel](const cw_control_event_ptr& event) {
                        handle(self, kernel, *state, *event);
                    }};
        });
}
