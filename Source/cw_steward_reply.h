#pragma once

#include "cw_crash_news.h"
#include "cw_error.h"
#include "cw_key_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What a host answers to another host's report on a service.
struct cw_steward_reply {
    /// Live hosts that the answering host knows of, itself included.
    std::uint32_t hosts = 1;
    /// True when the steward is not answered by the store.
    bool requests_successor = false;
    /// JSON of the whole latest table, or of its changes since the copy that the report named;
    /// empty when the reporting host knows the latest.
    std::string table;
    bool is_whole_table = false;
    /// All marks of crashed requests, or their changes since the set that the report named; only
    /// from the steward that gathers them, and only when there is news.
    std::optional<cw_crash_marks> crashes;
    bool is_whole_crashes = false;
    /// Addresses of the readers of the reporting host's failure domain in their order; empty from a
    /// steward that does not name them.
    std::vector<std::string> readers;

    /// The reply as JSON text.
    [[nodiscard]] std::string to_text() const;
    /// Reads to_text()'s form; the error says what is wrong.
    [[nodiscard]] static cw_result<cw_steward_reply> parse(std::string_view text);
    /// The latest table, told to a host that knew the given copy.
    [[nodiscard]] cw_result<cw_key_table> latest_table(cw_key_table known) const;
};
