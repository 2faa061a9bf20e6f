#pragma once

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <string_view>

/// The micro-kernel of a program: services are actors that find each other by name.
///
/// One service holds the control state on a thread of its own; traffic runs on other threads and
/// reaches control only by messages. CAF's clustering and I/O modules stay unused.
class cw_kernel {
public:
    cw_kernel();

    [[nodiscard]] caf::actor_system& system() { return system_; }
    /// Makes a service known. Names have at most ten letters or digits.
    void add(std::string_view name, const caf::actor& service);
    /// The service of that name; null while there is none.
    [[nodiscard]] caf::actor find(std::string_view name);
    /// Ends all services and waits for them.
    void stop();

private:
    caf::actor_system_config config_;
    caf::actor_system system_;
};
