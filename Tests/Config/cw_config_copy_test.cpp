#include "cw_config_copy.h"

#include <doctest/doctest.h>
#include <string>

using nlohmann::json;

namespace {

json config_of(std::uint64_t version, std::size_t bytes = 0) {
    return {{"version", version},
            {"padding", std::string(bytes, static_cast<char>('a' + version))}};
}

/// A reader's copy at version 4, after versions 2 and 3, and a follower's at version 2.
struct two_copies {
    cw_config_copy reader;
    cw_config_copy follower;

    two_copies() {
        for (std::uint64_t version = 2; version <= 4; ++version) {
            reader.replace(version, config_of(version), true);
        }
        follower.replace(2, config_of(2), false);
    }
};

} // namespace

TEST_CASE_FIXTURE(two_copies, "copy_with_the_deltas_since_its_version_is_the_latest") {
    const auto made = follower.with_deltas(reader.deltas_since(2));
    REQUIRE(made);
    CHECK(*made == config_of(4));
    CHECK(reader.deltas_since(3).size() == 1);
}

TEST_CASE_FIXTURE(two_copies, "copy_of_a_version_that_is_not_known_gets_no_deltas") {
    CHECK(reader.deltas_since(1).is_null());
    CHECK(reader.deltas_since(4).is_null());
    CHECK(reader.deltas_since(9).is_null());
}

TEST_CASE_FIXTURE(two_copies, "copy_whose_changes_are_forgotten_is_sent_whole") {
    reader.forget_changes();
    CHECK(reader.deltas_since(2).is_null());
    CHECK(json::parse(reader.text()) == config_of(4));
}

TEST_CASE_FIXTURE(two_copies, "version_received_without_followers_ends_the_deltas_before_it") {
    reader.replace(5, config_of(5), false);
    reader.replace(6, config_of(6), true);
    CHECK(reader.deltas_since(4).is_null());
    CHECK(reader.deltas_since(5).size() == 1);
}

TEST_CASE_FIXTURE(two_copies, "deltas_beyond_the_memory_bound_are_dropped_oldest_first") {
    constexpr auto half = cw_config_delta_log::max_bytes / 2;
    reader.replace(5, config_of(5, half), true);
    reader.replace(6, config_of(6, half), true);
    CHECK(reader.deltas_since(4).is_null());
    CHECK(reader.deltas_since(5).size() == 1);
    reader.replace(7, config_of(7, 3 * half), true);
    CHECK(reader.deltas_since(6).is_null());
}

TEST_CASE_FIXTURE(two_copies, "deltas_that_do_not_fit_leave_the_copy_as_it_is") {
    CHECK_FALSE(follower.with_deltas(json::parse(R"([{"elements":[[0,1]]}])")));
    CHECK_FALSE(follower.with_deltas(json::object()));
    CHECK(follower.version() == 2);
    CHECK(json::parse(follower.text()) == config_of(2));
}
