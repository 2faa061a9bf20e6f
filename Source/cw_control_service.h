#pragma once

#include "cw_gateway_control.h"

#include <caf/actor.hpp>

class cw_kernel;

/// Starts the gateway's control service: an actor on its own thread that runs cw_gateway_control.
///
/// For each cw_control_event_ptr that it receives and for each clock tick it sends a
/// cw_control_output_ptr to the service named "io".
[[nodiscard]] caf::actor cw_start_control_service(cw_kernel& kernel, cw_gateway_control control);
