#include "cw_hold_registry.h"
#include "cw_lease_codec.h"
#include "cw_lease_holder.h"
#include "cw_peer_codec.h"
#include "cw_tenure.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

/// A tenure of 200 ms with two peers that may remove its keeper.
struct tenure_with_two_peers {
    cw_tenure tenure{200ms};
    cw_ring_member a{"a", 1};
    cw_ring_member b{"b", 1};
    std::vector<cw_ring_member> peers{a, b};
    cw_time_point start{1h};
};

} // namespace

TEST_CASE_FIXTURE(tenure_with_two_peers, "tenure_without_promises_does_not_hold") {
    CHECK_FALSE(tenure.is_valid(peers, start));
}

TEST_CASE_FIXTURE(tenure_with_two_peers, "tenure_without_peers_has_no_end") {
    CHECK_FALSE(tenure.expiry({}));
}

TEST_CASE_FIXTURE(tenure_with_two_peers, "promise_late_counts_from_its_request") {
    tenure.on_request_sent(a, 1, start);
    tenure.on_request_sent(b, 2, start + 50ms);
    tenure.on_promise(a, 1);
    tenure.on_promise(b, 2);
    CHECK(tenure.expiry(peers) == start + 200ms);
}

TEST_CASE_FIXTURE(tenure_with_two_peers, "promise_of_one_peer_alone_does_not_confirm") {
    tenure.on_request_sent(a, 1, start);
    tenure.on_promise(a, 1);
    CHECK_FALSE(tenure.is_valid(peers, start));
}

TEST_CASE_FIXTURE(tenure_with_two_peers, "promise_from_wrong_peer_is_ignored") {
    tenure.on_request_sent(a, 1, start);
    tenure.on_promise(b, 1);
    CHECK_FALSE(tenure.is_valid({b}, start));
}

TEST_CASE_FIXTURE(tenure_with_two_peers, "promise_from_later_incarnation_is_ignored") {
    tenure.on_request_sent(a, 1, start);
    tenure.on_request_sent(b, 2, start);
    tenure.on_promise(a, 1);
    tenure.on_promise({"b", 2}, 2);
    CHECK_FALSE(tenure.is_valid(peers, start));
}

TEST_CASE_FIXTURE(tenure_with_two_peers, "store_confirmation_replaces_promises") {
    tenure.on_store_confirmation(start);
    CHECK(tenure.is_valid(peers, start + 199ms));
    CHECK_FALSE(tenure.is_valid(peers, start + 200ms));
    tenure.on_removal();
    CHECK_FALSE(tenure.is_valid(peers, start));
}

TEST_CASE("hold_lasts_until_table_passes_its_base_epoch") {
    cw_hold_registry holds;
    const cw_ring_member holder{"k", 1};
    CHECK(holds.add(holder, "u", 5, 10, cw_time_point{}));
    CHECK(holds.is_held("u", 10));
    CHECK_FALSE(holds.is_held("u", 11));
}

TEST_CASE("hold_cancelled_is_not_revived_by_a_delayed_copy") {
    cw_hold_registry holds;
    const cw_ring_member holder{"k", 1};
    CHECK(holds.add(holder, "u", 5, 10, cw_time_point{}));
    holds.remove(holder, "u", 5);
    CHECK_FALSE(holds.add(holder, "u", 5, 10, cw_time_point{}));
    CHECK_FALSE(holds.is_held("u", 10));
}

TEST_CASE("peer_message_encoded_is_decoded_the_same") {
    const cw_peer_message message{{"entry-1", 77}, cw_hold_message{3, "u1", "gallery", 12}};
    const auto decoded = cw_decode_peer_message(cw_encode_peer_message(message));
    REQUIRE(decoded);
    CHECK(decoded->from == message.from);
    const auto& hold = std::get<cw_hold_message>(decoded->body);
    CHECK(hold.upstream == "u1");
    CHECK(hold.base_epoch == 12);
}

TEST_CASE("peer_message_cut_short_is_an_error") {
    const auto whole =
        cw_encode_peer_message({{"entry-1", 77}, cw_promise_request_message{1, "d0", 2}});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK_FALSE(cw_decode_peer_message({whole.data(), length}));
    }
}

TEST_CASE("grant_encoded_is_decoded_the_same") {
    cw_lease_grant grant;
    grant.incarnation = 4;
    grant.fence = 9;
    grant.deadline = cw_upstream_time{123456us};
    grant.slices = std::vector<cw_slice>{{0, 99, "", 7}};
    const auto decoded = cw_decode_grant(cw_encode_grant(grant));
    REQUIRE(decoded);
    CHECK(decoded->fence == 9);
    CHECK(decoded->deadline == grant.deadline);
    CHECK(decoded->slices == grant.slices);
    CHECK_FALSE(cw_decode_grant("[]"));
    CHECK_FALSE(cw_decode_grant("{\"run\": \"x\"}"));
}

TEST_CASE("lease_holder_given_old_fence_refuses_it") {
    cw_lease_holder holder{1, true};
    cw_lease_grant grant;
    grant.incarnation = 1;
    grant.fence = 5;
    grant.deadline = cw_upstream_time{2s};
    grant.slices = std::vector<cw_slice>{{0, 99, "", 5}};
    CHECK(holder.on_grant(grant, cw_upstream_time{1s}).outcome == cw_lease_outcome::accepted);
    grant.fence = 4;
    CHECK(holder.on_grant(grant, cw_upstream_time{1s}).outcome == cw_lease_outcome::stale_fence);
    CHECK(holder.is_leased(cw_upstream_time{1999ms}));
    CHECK_FALSE(holder.is_leased(cw_upstream_time{2s}));
}
