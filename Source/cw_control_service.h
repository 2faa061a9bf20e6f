#pragma once

#include "cw_gateway_control.h"

#include <caf/actor.hpp>

class cw_kernel;

/// Starts the gateway's control service: the decision code on a thread of its own.
///
/// It takes cw_control_event_ptr and sends cw_control_output_ptr to the service named "io".
[[nodiscard]] caf::actor cw_start_control_service(cw_kernel& kernel, cw_gateway_control control);
