#pragma once

/// Text form of a key table that is sent to another host.
enum class cw_table_format {
    /// cw_key_table::to_json(), which hosts of all releases read.
    plain,
    /// cw_key_table::to_compact_json().
    compact,
};
