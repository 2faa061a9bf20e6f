#pragma once

#include "cw_boot_clock.h"
#include "cw_evacuation_set.h"
#include "cw_store_change.h"

#include <chrono>
#include <map>
#include <set>
#include <string>

/// A host's copy of the names of the evacuation objects in the store.
///
/// A deterministic state machine. The copy is ordered by the position at which the names last
/// changed, so that a heartbeat of an upstream, which raises the store's revision, is no change for
/// followers, and that an older set, from a reader that was suspended, is ignored. When the store
/// comes back from an older copy, a name that it has lost applies for some time longer, in which
/// operators write it again.
class cw_evacuation_replica {
public:
    using milliseconds = std::chrono::milliseconds;

    /// `recovery_time` is how long a name applies that a restored store has lost.
    explicit cw_evacuation_replica(milliseconds recovery_time)
        : recovery_time_{recovery_time} {}

    /// Applies a complete set, from a list of the store or from a reader. True if the names in
    /// effect have changed.
    bool apply(const cw_evacuation_set& received, cw_boot_time now);
    /// Applies the changes that a watch of the store has brought; see apply().
    bool apply(const cw_evacuation_change& change);
    /// Drops lost names whose time has passed; see apply().
    bool on_tick(cw_boot_time now);

    /// True once a complete set has been received.
    [[nodiscard]] bool is_known() const { return position_.is_known(); }
    [[nodiscard]] const cw_store_position& position() const { return position_; }
    /// True if a host that knows the set as of the position misses a change.
    [[nodiscard]] bool has_changes_since(const cw_store_position& known) const {
        return position_ > known;
    }
    /// The set for other hosts.
    [[nodiscard]] cw_evacuation_set set() const;
    /// Names that apply, lost ones included.
    [[nodiscard]] std::set<std::string> names_in_effect() const;

private:
    milliseconds recovery_time_;
    std::set<std::string> names_;
    /// Names that a restored store has lost, with the time until which they apply.
    std::map<std::string, cw_boot_time> retained_;
    cw_store_position position_;
};
