#pragma once

#include "cw_error.h"
#include "cw_load_record.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// An entry of an upstream's journal: one execution of a request. Times are readings of the
/// upstream's monotonic clock.
struct cw_journal_entry {
    std::string request_id;
    std::string key;
    std::string upstream;
    std::chrono::microseconds start{};
    std::chrono::microseconds end{};
    bool committed = false;
    /// Whether the upstream's keys have owners. Upstreams of a service without keys may execute
    /// requests with the same path at the same time.
    bool is_keyed = true;
};

/// Result of comparing the recorded outcomes with the upstreams' journals.
struct cw_load_audit {
    std::size_t journal_entries = 0;
    /// Requests that were answered although no journal shows a commit. Requests of an upstream
    /// whose journal was lost are included.
    std::size_t answered_without_run = 0;
    /// Requests that were reported as `did not run` although an upstream committed them.
    std::size_t false_did_not_run = 0;
    /// Non-idempotent requests that were committed more than once.
    std::size_t doubled = 0;
    /// Pairs of committed executions of one key on two upstreams that overlapped in time, for
    /// services with keys.
    std::size_t two_owner_moments = 0;
    /// Key, upstreams and times of the first of these pairs; empty for none.
    std::string first_two_owner_moment;

    /// Compares the outcomes that the load tool saw with the journals of all upstreams.
    [[nodiscard]] static cw_load_audit compare(const std::vector<cw_load_record>& records,
                                               const std::vector<cw_journal_entry>& journal);
    /// Whether no violation was found. Missing commits count only if all journals could be read.
    [[nodiscard]] bool is_clean(bool journals_complete) const {
        return false_did_not_run == 0 && doubled == 0 && two_owner_moments == 0 &&
               (!journals_complete || answered_without_run == 0);
    }
};

/// Reads the journals of all upstreams in the platform's host list. Sets `unread_journals` to the
/// number of journals that could not be read. Fails if the host list cannot be read or parsed.
[[nodiscard]] cw_result<std::vector<cw_journal_entry>>
cw_read_journals(const std::string& platform, std::size_t& unread_journals);
