#include "cw_config_catch_up.h"

#include <doctest/doctest.h>

using result = cw_config_call_result;

namespace {

/// A host that has version 7.
struct host_that_catches_up {
    static constexpr std::uint64_t version = 7;
    cw_config_catch_up catch_up;

    [[nodiscard]] std::uint64_t latest_known() const { return catch_up.latest_known(version); }
};

} // namespace

// Guards against one failed call that makes a host forget what it has heard of.
TEST_CASE_FIXTURE(host_that_catches_up, "version_that_was_heard_of_is_known_after_failed_calls") {
    CHECK(latest_known() == version);
    catch_up.on_heard(9);
    for (const auto end : {result::failed, result::cut, result::received}) {
        catch_up.on_transfer_ended(end);
        catch_up.on_watch_ended(end, version);
        CHECK(latest_known() == 9);
    }
    catch_up.on_heard(8);
    CHECK(latest_known() == 9);
    catch_up.on_store_restored();
    CHECK(latest_known() == version);
}

// Guards against a host that reads the store and does not know that it is late.
TEST_CASE_FIXTURE(host_that_catches_up, "watch_that_is_cut_shows_that_a_later_version_exists") {
    catch_up.on_watch_ended(result::failed, version);
    CHECK(latest_known() == version);
    CHECK_FALSE(catch_up.reads_whole());
    catch_up.on_watch_ended(result::cut, version);
    CHECK(latest_known() == version + 1);
    CHECK(catch_up.reads_whole());
}

// Guards against a transfer that is begun anew for ever, since one time limit is too short for it.
TEST_CASE_FIXTURE(host_that_catches_up, "transfer_that_is_cut_has_twice_the_time_until_it_ends") {
    const auto first = catch_up.transfer_time();
    catch_up.on_transfer_ended(result::failed);
    CHECK(catch_up.transfer_time() == first);
    catch_up.on_transfer_ended(result::cut);
    CHECK(catch_up.transfer_time() == 2 * first);
    for (int i = 0; i < 20; ++i) {
        catch_up.on_transfer_ended(result::cut);
    }
    CHECK(catch_up.transfer_time() == cw_config_catch_up::max_transfer_time);
    CHECK(catch_up.reads_whole());
    catch_up.on_transfer_ended(result::received);
    CHECK(catch_up.transfer_time() == first);
    CHECK_FALSE(catch_up.reads_whole());
}
