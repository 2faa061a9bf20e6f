#include "cw_entry_stamp.h"

#include "cw_upstream_entry.h"

cw_entry_stamp cw_entry_stamp::of(const cw_upstream_entry& entry) {
    return {entry.incarnation, entry.sequence};
}

bool cw_entry_stamp::is_older_than(const cw_entry_stamp& other) const {
    return is_ordered() && *this < other;
}
