#pragma once

#include "cw_control_event.h"
#include "cw_gateway_control.h"

#include <caf/allowed_unsafe_message_type.hpp>
#include <memory>

using cw_control_event_ptr = std::shared_ptr<const cw_control_event>;
using cw_control_output_ptr = std::shared_ptr<const cw_control_output>;

// These messages never leave the process, so they need no serialization.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cw_control_event_ptr)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cw_control_output_ptr)
