#pragma once

#include "cw_crash_change_log.h"
#include "cw_error.h"
#include "cw_key_table.h"
#include "cw_limit_share.h"
#include "cw_shared_load.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// A host's answer to another host's report on a service.
struct cw_steward_reply {
    /// Live hosts that the answering host knows of, itself included.
    std::uint32_t hosts = 1;
    /// True if the answering host is the steward and the store does not answer it.
    bool requests_successor = false;
    /// JSON of the latest table, or of its changes since the version that the report named; empty
    /// if the reporting host has the latest version.
    std::string table;
    bool is_full_table = false;
    /// All crash counts, or their changes since the version that the report named. Sent only by the
    /// steward that collects crash reports, and only if there are changes.
    std::optional<cw_crash_counts> crashes;
    bool is_full_crashes = false;
    /// Addresses of the readers of the reporting host's failure domain, by rank; empty from a
    /// steward that does not choose them.
    std::vector<std::string> readers;
    /// Number of hosts that may use an upstream, and the reporting host's shares of limited rates;
    /// 0 and empty from a steward that does not collect limits.
    std::uint32_t limit_hosts = 0;
    std::vector<cw_limit_share> limits;
    /// Upstreams without a free slot that the steward knows of.
    std::vector<cw_shared_load> full_upstreams;

    /// The reply as JSON text, which hosts of all releases read.
    [[nodiscard]] std::string to_json() const;
    /// The reply as two lines, with the table as it is in the second one: a steward answers all
    /// hosts with the same text, which is not parsed for each of them. One line if there is no
    /// table.
    [[nodiscard]] std::string to_lines() const;
    /// Parses the result of to_json() or to_lines(). Fails if the first line is no JSON or a member
    /// has a wrong type.
    [[nodiscard]] static cw_result<cw_steward_reply> parse(std::string_view text);
    /// The latest table, for a host that has the given copy. Fails if the table or its changes are
    /// invalid.
    [[nodiscard]] cw_result<cw_key_table> latest_table(cw_key_table known) const;
};
