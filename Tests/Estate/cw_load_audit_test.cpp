#include "cw_load_audit.h"
#include "cw_load_record.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

/// Committed executions of one key on two upstreams that overlap in time.
std::vector<cw_journal_entry> overlapping_executions(bool is_keyed) {
    return {{"r1", "/archive/k3", "archive-hakata-1", 100us, 2'100us, true, is_keyed},
            {"r2", "/archive/k3", "archive-kokura-2", 1'900us, 3'900us, true, is_keyed}};
}

} // namespace

// The demo failed by chance: two requests with one path to a service without keys ran at the same
// time on two upstreams, and the audit took that for two owners.
TEST_CASE("overlapping_executions_of_a_service_without_keys_are_no_two_owner_moment") {
    const auto audit = cw_load_audit::compare({}, overlapping_executions(false));
    CHECK(audit.two_owner_moments == 0);
    CHECK(audit.is_clean(true));
}

TEST_CASE("overlapping_executions_of_one_key_are_a_two_owner_moment_that_names_both_upstreams") {
    const auto audit = cw_load_audit::compare({}, overlapping_executions(true));
    CHECK(audit.two_owner_moments == 1);
    CHECK_FALSE(audit.is_clean(true));
    CHECK(
        audit.first_two_owner_moment ==
        "/archive/k3: archive-hakata-1 from 100 to 2100 us, archive-kokura-2 from 1900 to 3900 us");
}
