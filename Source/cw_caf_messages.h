#pragma once

#include "cw_keeper_control.h"
#include "cw_keeper_event.h"

#include <caf/allowed_unsafe_message_type.hpp>
#include <memory>

using cw_keeper_event_ptr = std::shared_ptr<const cw_keeper_event>;
using cw_keeper_output_ptr = std::shared_ptr<const cw_keeper_output>;

// These messages never leave the process, so they need no serialization.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cw_keeper_event_ptr)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(cw_keeper_output_ptr)
