#pragma once

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <string_view>

/// The microkernel of a process: a registry in which its services, CAF actors, find each other by
/// name.
///
/// One service owns the control state and runs on its own thread. Traffic runs on other threads and
/// communicates with the control service by messages only. CAF's clustering and I/O modules are not
/// used.
class cw_kernel {
public:
    cw_kernel();

    [[nodiscard]] caf::actor_system& system() { return system_; }
    /// Registers a service. The name has at most ten letters or digits, as CAF's atoms require.
    void add(std::string_view name, const caf::actor& service);
    /// The service of that name; null when none is registered.
    [[nodiscard]] caf::actor find(std::string_view name);
    /// Unregisters all services and sends each a request to exit; does not wait for them.
    void stop();

private:
    caf::actor_system_config config_;
    caf::actor_system system_;
};
