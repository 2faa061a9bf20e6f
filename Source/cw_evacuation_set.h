#pragma once

#include "cw_store_position.h"

#include <set>
#include <string>

/// The evacuated failure domains, as one host passes them to another.
struct cw_evacuation_set {
    /// Names of the evacuation objects in the store.
    std::set<std::string> names;
    /// Names that the store has lost by coming back from an older copy, and that still apply.
    std::set<std::string> retained;
    /// Position of the store as of which `names` is complete.
    cw_store_position position;

    friend bool operator==(const cw_evacuation_set&, const cw_evacuation_set&) = default;
};
