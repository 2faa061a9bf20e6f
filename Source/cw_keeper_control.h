#pragma once

#include "cw_keeper_command.h"
#include "cw_keeper_core.h"
#include "cw_keeper_options.h"

#include <caf/actor.hpp>
#include <memory>
#include <string>
#include <vector>

class cw_kernel;

/// What the control service hands to the I/O service after an event.
struct cw_keeper_output {
    std::vector<cw_keeper_command> commands;
    /// Keys to watch, when they have changed.
    std::shared_ptr<const std::vector<std::string>> watched;
    /// Tables and hosts for routers as JSON, when they have changed.
    std::shared_ptr<const std::string> routes;
    /// Status for operators as JSON, when it was due.
    std::shared_ptr<const std::string> status;
};

/// Starts the keeper's control service: the decision code on a thread of its own.
///
/// It takes std::shared_ptr<cw_keeper_event> and sends std::shared_ptr<cw_keeper_output> to the
/// service named "io".
[[nodiscard]] caf::actor cw_start_keeper_control(cw_kernel& kernel,
                                                 const cw_keeper_options& options,
                                                 std::uint64_t incarnation);
