#pragma once

#include "cw_error.h"
#include "cw_load_record.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// One committed run from an upstream's journal.
struct cw_journal_entry {
    std::string request_id;
    std::string key;
    std::string upstream;
    std::chrono::microseconds start{};
    std::chrono::microseconds end{};
    bool committed = false;
};

/// What the upstreams' journals say of the recorded outcomes.
struct cw_load_audit {
    std::size_t journal_entries = 0;
    /// Answered, yet no upstream committed it. An upstream whose journal was lost accounts for
    /// some.
    std::size_t answered_without_run = 0;
    /// Refused as `did not run`, yet committed.
    std::size_t false_did_not_run = 0;
    /// Requests that are not idempotent and were committed more than once.
    std::size_t doubled = 0;
    /// Pairs of committed runs of one key that overlapped in time on two upstreams.
    std::size_t two_owner_moments = 0;

    [[nodiscard]] static cw_load_audit compare(const std::vector<cw_load_record>& records,
                                               const std::vector<cw_journal_entry>& journal);
    [[nodiscard]] bool is_clean(bool journals_complete) const {
        return false_did_not_run == 0 && doubled == 0 && two_owner_moments == 0 &&
               (!journals_complete || answered_without_run == 0);
    }
};

/// Reads the journals of all listed upstreams that answer. `unread_journals` counts those that do
/// not.
[[nodiscard]] cw_result<std::vector<cw_journal_entry>>
cw_read_journals(const std::string& platform, std::size_t& unread_journals);
