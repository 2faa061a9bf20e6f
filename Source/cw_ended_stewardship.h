#pragma once

#include "cw_key_table.h"
#include "cw_term.h"

#include <memory>

/// What remains of a host's last stewardship of a service.
struct cw_ended_stewardship {
    /// Its last table; null if there was no stewardship.
    std::shared_ptr<const cw_key_table> table;
    /// Term of the steward that followed, by which this host learned of its end.
    cw_term successor;

    /// The last table if the steward of the given term followed at once; else null, since another
    /// steward may have moved keys in between.
    [[nodiscard]] std::shared_ptr<const cw_key_table> table_before(const cw_term& term) const {
        return successor == term ? table : nullptr;
    }
};
