#pragma once

#include "cw_keeper_command.h"
#include "cw_keeper_core.h"
#include "cw_keeper_options.h"

#include <caf/actor.hpp>
#include <memory>
#include <string>
#include <vector>

class cw_kernel;

/// Output of the control service for the I/O service after one event.
struct cw_keeper_output {
    std::vector<cw_keeper_command> commands;
    /// Store keys to watch; null if unchanged.
    std::shared_ptr<const std::vector<std::string>> watched;
    /// Tables, hosts and crashes for routers as JSON; null if unchanged.
    std::shared_ptr<const std::string> routes;
    /// Status for operators as JSON; null if not due.
    std::shared_ptr<const std::string> status;
};

/// Starts the keeper's control service, an actor that runs the decision code on its own thread.
///
/// It receives std::shared_ptr<const cw_keeper_event> and sends
/// std::shared_ptr<const cw_keeper_output> to the service named "io".
[[nodiscard]] caf::actor cw_start_keeper_control(cw_kernel& kernel,
                                                 const cw_keeper_options& options,
                                                 std::uint64_t incarnation);
