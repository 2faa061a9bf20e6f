#include "cw_feed_answer.h"
#include "cw_reader_ranking.h"
#include "cw_reader_selector.h"
#include "cw_upstream_replica.h"

#include <doctest/doctest.h>
#include <string>

using namespace std::chrono_literals;

namespace {

cw_upstream_entry make_entry(const std::string& id, std::uint64_t incarnation = 1) {
    cw_upstream_entry result;
    result.id = id;
    result.service = "gallery";
    result.address = "10.0.0.1:80";
    result.domain = "hakata";
    result.slots = 3;
    result.incarnation = incarnation;
    return result;
}

cw_upstream_entry make_leaving_entry(const std::string& id) {
    auto result = make_entry(id);
    result.leaving = true;
    return result;
}

cw_upstream_entry stamped(cw_upstream_entry entry, std::uint64_t sequence) {
    entry.sequence = sequence;
    return entry;
}

/// A replica with two upstreams at revision 10.
struct listed_replica {
    cw_upstream_replica replica;

    listed_replica() { replica.apply({{1, 10}, true, {make_entry("a"), make_entry("b")}, {}}); }
};

/// A host whose failure domain has two other hosts as readers.
struct following_host {
    using kind = cw_feed_source::kind;

    cw_boot_time now{100s};
    cw_reader_selector selector{"host:1", {}, 3};

    following_host() { selector.on_readers({"first:1", "second:1"}); }
    cw_feed_source source_after(std::chrono::milliseconds delay) {
        return selector.source(now + delay);
    }
    void mark_failed(const std::string& reader) { selector.on_failure(reader, now); }
};

} // namespace

// -- entries

TEST_CASE_FIXTURE(
    listed_replica,
    "entry_rewritten_is_a_change_only_if_its_warm_up_ends_more_than_half_a_second_later") {
    auto again = make_entry("a");
    again.warm_at += 500ms;
    CHECK(replica.apply({{1, 11}, false, {again}, {}}).is_empty());
    CHECK(replica.position() == cw_store_position{1, 11});
    CHECK_FALSE(replica.has_changes_since({1, 10}));
    again.warm_at += 3s;
    CHECK(replica.apply({{1, 12}, false, {again}, {}}).written == std::vector{again});
    CHECK(replica.has_changes_since({1, 11}));
    again.warm_at -= 2s;
    CHECK(replica.apply({{1, 13}, false, {again}, {}}).is_empty());
    CHECK_FALSE(replica.has_changes_since({1, 12}));
}

TEST_CASE_FIXTURE(listed_replica, "leaving_entry_is_in_the_delta_since_an_earlier_revision") {
    replica.apply({{1, 12}, false, {make_leaving_entry("b")}, {}});
    replica.apply({{1, 15}, false, {}, {"a"}});
    CHECK(replica.has_changes_since({1, 10}));
    const auto delta = replica.delta_since({1, 10});
    CHECK_FALSE(delta.is_full);
    CHECK(delta.position == cw_store_position{1, 15});
    REQUIRE(delta.written.size() == 1);
    CHECK(delta.written.front().leaving);
    CHECK(delta.removed == std::vector<std::string>{"a"});
    CHECK(replica.delta_since({1, 12}).written.empty());
    CHECK(replica.delta_since({1, 15}).is_empty());
}

TEST_CASE_FIXTURE(listed_replica, "delta_older_than_the_known_revision_is_ignored") {
    replica.apply({{1, 20}, false, {make_leaving_entry("b")}, {}});
    CHECK(replica.apply({{1, 14}, false, {make_entry("b")}, {"a"}}).is_empty());
    CHECK(replica.apply({{1, 14}, true, {make_entry("b")}, {}}).is_empty());
    CHECK(replica.position() == cw_store_position{1, 20});
    CHECK(replica.delta_since({}).written.size() == 2);
}

TEST_CASE_FIXTURE(listed_replica, "delta_since_zero_or_a_forgotten_revision_is_full") {
    CHECK(replica.delta_since({}).is_full);
    CHECK(replica.delta_since({1, 4}).is_full);
    for (std::uint64_t incarnation = 2; incarnation < 400; ++incarnation) {
        replica.apply({{1, 10 + incarnation}, false, {make_entry("a", incarnation)}, {}});
    }
    CHECK(replica.delta_since({1, 10}).is_full);
    CHECK_FALSE(replica.delta_since({1, 400}).is_full);
}

TEST_CASE_FIXTURE(listed_replica, "full_delta_of_a_later_era_replaces_a_higher_revision") {
    replica.apply({{1, 40}, false, {make_entry("c")}, {}});
    const auto delta = replica.apply({{2, 12}, true, {make_entry("a"), make_entry("b")}, {}});
    CHECK(delta.removed == std::vector<std::string>{"c"});
    CHECK(replica.position() == cw_store_position{2, 12});
    CHECK(replica.delta_since({1, 40}).is_full);
    CHECK_FALSE(replica.has_changes_since({2, 12}));
}

TEST_CASE_FIXTURE(listed_replica, "partial_delta_of_a_later_era_is_ignored") {
    CHECK(replica.apply({{2, 50}, false, {make_leaving_entry("b")}, {"a"}}).is_empty());
    CHECK(replica.position() == cw_store_position{1, 10});
}

TEST_CASE_FIXTURE(listed_replica, "delta_of_an_earlier_era_is_ignored_whatever_its_revision") {
    replica.apply({{2, 5}, true, {make_entry("a")}, {}});
    CHECK(replica.apply({{1, 90}, true, {make_entry("b")}, {}}).is_empty());
    CHECK(replica.position() == cw_store_position{2, 5});
    CHECK_FALSE(replica.has_changes_since({3, 1}));
}

TEST_CASE_FIXTURE(listed_replica, "full_delta_without_a_known_entry_removes_it") {
    const auto delta = replica.apply({{1, 30}, true, {make_entry("a")}, {}});
    CHECK(delta.written.empty());
    CHECK(delta.removed == std::vector<std::string>{"b"});
}

TEST_CASE_FIXTURE(listed_replica, "entry_removed_and_written_again_is_a_change") {
    replica.apply({{1, 11}, false, {}, {"a"}});
    CHECK(replica.apply({{1, 12}, false, {make_entry("a")}, {}}).written.size() == 1);
}

TEST_CASE_FIXTURE(listed_replica,
                  "older_entry_of_a_restored_store_does_not_undo_an_announced_shutdown") {
    replica.apply({{1, 11}, false, {stamped(make_leaving_entry("a"), 9)}, {}});
    const auto delta = replica.apply(
        {{2, 4}, true, {stamped(make_entry("a"), 5), stamped(make_entry("b"), 5)}, {}});
    CHECK(delta.written.empty());
    CHECK(replica.delta_since({}).written.front().leaving);
}

TEST_CASE_FIXTURE(listed_replica, "removed_entry_that_a_restored_store_lists_again_stays_removed") {
    replica.apply({{1, 11}, false, {stamped(make_entry("a"), 7)}, {}});
    replica.apply({{1, 12}, false, {}, {"a"}});
    const auto restored =
        replica.apply({{2, 4}, true, {stamped(make_entry("a"), 6), make_entry("b")}, {}});
    CHECK(restored.written.empty());
    CHECK(replica.delta_since({}).written.size() == 1);
    // An upstream that still runs writes its entry again.
    const auto rewritten = replica.apply({{2, 6}, false, {stamped(make_entry("a"), 8)}, {}});
    CHECK(rewritten.written.size() == 1);
}

TEST_CASE_FIXTURE(listed_replica, "follower_that_missed_heartbeats_keeps_a_removed_entry_removed") {
    cw_upstream_replica follower;
    follower.apply(replica.delta_since({}));
    replica.apply({{1, 11}, false, {stamped(make_entry("a"), 7)}, {}});
    replica.apply({{1, 12}, false, {}, {"a"}});
    const cw_boot_time now{50s};
    const auto sent = cw_delta_from_json(cw_delta_to_json(replica.delta_since({1, 10}), now), now);
    REQUIRE(sent);
    follower.apply(*sent);
    const auto restored =
        follower.apply({{2, 4}, true, {stamped(make_entry("a"), 6), make_entry("b")}, {}});
    CHECK(restored.written.empty());
}

TEST_CASE_FIXTURE(listed_replica, "entry_without_a_sequence_replaces_a_known_one") {
    replica.apply({{1, 11}, false, {stamped(make_entry("a"), 7)}, {}});
    const auto delta = replica.apply({{1, 12}, false, {make_leaving_entry("a")}, {}});
    CHECK(delta.written.size() == 1);
}

TEST_CASE_FIXTURE(listed_replica, "follower_of_two_readers_ends_with_the_same_entries") {
    cw_upstream_replica follower;
    follower.apply(replica.delta_since(follower.position()));
    cw_upstream_replica other = replica;
    replica.apply({{1, 12}, false, {make_leaving_entry("b")}, {}});
    other.apply({{1, 12}, false, {make_leaving_entry("b")}, {}});
    follower.apply(replica.delta_since(follower.position()));
    other.apply({{1, 13}, false, {make_entry("c")}, {"a"}});
    follower.apply(other.delta_since(follower.position()));
    // The first reader was suspended meanwhile and sends outdated entries.
    follower.apply(replica.delta_since({1, 10}));
    const auto full = follower.delta_since({});
    REQUIRE(full.written.size() == 2);
    CHECK(full.written.front().leaving);
    CHECK(full.written.back().id == "c");
}

// -- the reader's answer

TEST_CASE("feed_answer_written_and_read_is_the_same") {
    const cw_boot_time now{50s};
    auto warm = make_entry("a", 7);
    warm.warm_at = now + 1'500ms;
    cw_feed_answer answer;
    answer.status = {true, 40ms, true};
    answer.delta = {{2, 9}, true, {warm}, {"z"}};
    answer.held = 120ms;
    answer.status.entries_lag = 300ms;
    answer.status.config_lag = 450ms;
    answer.config_version = 4;
    answer.config_position = {2, 8};
    answer.config_text = R"({"version":4})";
    answer.config_deltas = nlohmann::json::parse(R"([{"value":{"version":4}}])");
    const auto read = cw_feed_answer::parse(answer.to_json(now), now + 10s);
    REQUIRE(read);
    CHECK(read->status.reads_store);
    CHECK(read->status.store_age == 40ms);
    CHECK(read->status.is_store_unreachable);
    CHECK(read->delta.position == cw_store_position{2, 9});
    CHECK(read->delta.is_full);
    CHECK(read->delta.removed == std::vector<std::string>{"z"});
    CHECK(read->delta.written.front().warm_at == now + 11'500ms);
    CHECK(read->held == 120ms);
    CHECK(read->status.entries_lag == 300ms);
    CHECK(read->status.config_lag == 450ms);
    CHECK(read->config_version == 4);
    CHECK(read->config_position == cw_store_position{2, 8});
    CHECK(read->config == nlohmann::json{{"version", 4}});
    CHECK(read->config_deltas == answer.config_deltas);
}

TEST_CASE("feed_answer_that_cannot_be_read_is_an_error") {
    const cw_boot_time now{50s};
    for (const auto* text :
         {"", "[]", "{}", R"({"reads_store":1,"store_age_ms":0,"store_lost":false,"upstreams":{}})",
          R"({"reads_store":true,"store_age_ms":0,"store_lost":false,
              "upstreams":{"revision":1,"written":[["a"]],"removed":[]}})",
          R"({"reads_store":true,"store_age_ms":0,"store_lost":false,
              "upstreams":{"revision":1,"written":[],"removed":[3]}})"}) {
        CAPTURE(text);
        CHECK_FALSE(cw_feed_answer::parse(text, now));
    }
}

// -- reader selection

TEST_CASE_FIXTURE(following_host, "host_with_readers_follows_the_first") {
    CHECK(source_after(0ms) == cw_feed_source{kind::reader, "first:1"});
}

TEST_CASE_FIXTURE(following_host, "reader_that_fails_is_replaced_by_the_next_at_once") {
    mark_failed("first:1");
    CHECK(source_after(0ms) == cw_feed_source{kind::reader, "second:1"});
    CHECK(source_after(20s) == cw_feed_source{kind::reader, "second:1"});
}

TEST_CASE_FIXTURE(following_host, "reader_that_failed_is_followed_again_once_it_has_answered") {
    mark_failed("first:1");
    CHECK(selector.take_due_checks(now).empty());
    CHECK(selector.take_due_checks(now + 1'500ms) == std::vector<std::string>{"first:1"});
    CHECK(selector.take_due_checks(now + 1'600ms).empty());
    selector.on_status("first:1", {true, 4s, false}, now + 1'600ms);
    CHECK(source_after(1'700ms) == cw_feed_source{kind::reader, "second:1"});
    selector.on_status("first:1", {true, 30ms, false}, now + 3'200ms);
    CHECK(source_after(3'200ms) == cw_feed_source{kind::reader, "first:1"});
    CHECK(selector.take_due_checks(now + 9s).empty());
}

TEST_CASE_FIXTURE(following_host,
                  "host_that_reads_the_store_keeps_to_it_until_a_reader_has_answered") {
    selector.on_readers({"first:1", "host:1"});
    mark_failed("first:1");
    for (const auto delay : {0ms, 2'000ms, 4'000ms, 8'000ms}) {
        CHECK(source_after(delay).type == kind::store);
    }
}

TEST_CASE_FIXTURE(following_host, "host_named_second_reads_the_store_when_the_first_fails") {
    selector.on_readers({"first:1", "host:1", "third:1"});
    CHECK(source_after(0ms) == cw_feed_source{kind::reader, "first:1"});
    mark_failed("first:1");
    CHECK(source_after(0ms).type == kind::store);
    CHECK(selector.is_reader());
}

TEST_CASE_FIXTURE(following_host,
                  "hosts_that_lose_all_readers_turn_to_the_store_spread_over_time") {
    std::size_t early_count = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        cw_reader_selector other{"host:1", {}, seed * 7'919};
        other.on_readers({"first:1"});
        other.on_failure("first:1", now);
        CHECK(other.source(now).reader.empty());
        early_count += other.source(now + 100ms).type == kind::store ? 1 : 0;
        CHECK(other.source(now + 401ms).type == kind::store);
    }
    CHECK(early_count > 20);
    CHECK(early_count < 90);
}

TEST_CASE_FIXTURE(following_host,
                  "host_that_has_turned_to_the_store_stays_there_when_readers_fail_anew") {
    selector.on_readers({"first:1"});
    mark_failed("first:1");
    source_after(0ms);
    REQUIRE(source_after(500ms).type == kind::store);
    now += 3s;
    mark_failed("first:1");
    CHECK(source_after(0ms).type == kind::store);
}

TEST_CASE_FIXTURE(following_host, "reader_that_does_not_read_the_store_is_not_followed") {
    selector.on_status("first:1", {false, 0ms, false}, now);
    CHECK(source_after(0ms) == cw_feed_source{kind::reader, "second:1"});
    CHECK(selector.take_due_checks(now + 60ms) == std::vector<std::string>{"first:1"});
    selector.on_status("first:1", {true, 0ms, false}, now + 62ms);
    CHECK(source_after(100ms) == cw_feed_source{kind::reader, "first:1"});
}

TEST_CASE_FIXTURE(following_host, "reader_without_a_recent_store_response_is_skipped") {
    selector.on_status("first:1", {true, 1'400ms, false}, now);
    CHECK(source_after(0ms) == cw_feed_source{kind::reader, "second:1"});
}

TEST_CASE("host_without_a_named_reader_reads_the_store_after_the_startup_wait") {
    cw_reader_selector selector{"host:1", {}, 3};
    const cw_boot_time now{100s};
    CHECK(selector.source(now).type == cw_feed_source::kind::none);
    CHECK(selector.source(now + 600ms).type == cw_feed_source::kind::none);
    CHECK(selector.source(now + 701ms).type == cw_feed_source::kind::store);
}

TEST_CASE_FIXTURE(following_host, "reader_whose_configuration_lags_is_skipped") {
    selector.on_status("first:1", {true, 30ms, false, 30ms, 1'400ms}, now);
    CHECK(source_after(0ms) == cw_feed_source{kind::reader, "second:1"});
}

TEST_CASE_FIXTURE(following_host, "reader_that_the_store_refuses_follows_another_reader") {
    selector.on_readers({"host:1", "second:1"});
    REQUIRE(source_after(0ms).type == kind::store);
    selector.on_store_failure(now);
    CHECK(selector.is_store_suspected());
    CHECK(source_after(0ms) == cw_feed_source{kind::reader, "second:1"});
}

TEST_CASE_FIXTURE(following_host, "refused_reader_without_another_keeps_calling_the_store") {
    selector.on_readers({"host:1", "second:1"});
    selector.on_store_failure(now);
    mark_failed("second:1");
    source_after(0ms);
    CHECK(source_after(500ms).type == kind::store);
}

TEST_CASE_FIXTURE(following_host, "refused_reader_reads_the_store_again_once_it_is_answered") {
    selector.on_readers({"host:1", "second:1"});
    selector.on_store_failure(now);
    CHECK(selector.take_due_checks(now).empty());
    CHECK(selector.take_due_checks(now + 1'500ms) == std::vector<std::string>{"host:1"});
    selector.on_store_answer();
    CHECK(source_after(1'500ms).type == kind::store);
    CHECK_FALSE(selector.is_store_suspected());
}

TEST_CASE_FIXTURE(following_host,
                  "host_that_is_no_reader_any_more_still_tells_that_it_is_refused") {
    selector.on_store_failure(now);
    selector.on_readers({"third:1"});
    CHECK(selector.is_store_suspected());
}

TEST_CASE_FIXTURE(following_host, "reader_that_fails_after_it_was_replaced_is_not_checked") {
    selector.on_readers({"second:1"});
    mark_failed("first:1");
    CHECK(selector.take_due_checks(now + 2s).empty());
}

// -- reader ranking

TEST_CASE("readers_of_a_domain_are_its_hosts_with_the_highest_capacity") {
    cw_hosts_by_name hosts;
    for (int i = 0; i < 40; ++i) {
        hosts["host-" + std::to_string(i)] = {i % 2 == 0 ? "hakata" : "tenjin",
                                              "10.0.0." + std::to_string(i) + ":7",
                                              i >= 30 ? 0.5 : 0.1};
    }
    const auto rankings = cw_rank_readers(hosts, {});
    REQUIRE(rankings.size() == 2);
    for (const auto& [domain, ranking] : rankings) {
        CHECK(ranking.size() == cw_max_readers_per_domain);
        for (const auto& address : ranking) {
            CHECK(address.substr(0, 8) == "10.0.0.3");
        }
    }
}

TEST_CASE("readers_stay_when_a_host_of_equal_capacity_joins") {
    cw_hosts_by_name hosts;
    for (int i = 0; i < 6; ++i) {
        hosts["host-" + std::to_string(i)] = {"hakata", "a" + std::to_string(i), 0.2};
    }
    const auto before = cw_rank_readers(hosts, {});
    for (int i = 6; i < 30; ++i) {
        hosts["host-" + std::to_string(i)] = {"hakata", "a" + std::to_string(i), 0.2};
        CHECK(cw_rank_readers(hosts, before) == before);
    }
    hosts["strong"] = {"hakata", "s", 0.4};
    CHECK(cw_rank_readers(hosts, before).at("hakata").front() == "s");
}

TEST_CASE("hosts_that_are_not_refused_become_readers_when_the_store_refuses_all_readers") {
    cw_hosts_by_name hosts;
    for (int i = 0; i < 9; ++i) {
        hosts["host-" + std::to_string(i)] = {"hakata", "a" + std::to_string(i), i < 3 ? 0.5 : 0.1,
                                              i < 5};
    }
    const auto rankings = cw_rank_readers(hosts, {});
    for (const auto& address : rankings.at("hakata")) {
        CHECK(address >= "a5");
    }
}

TEST_CASE("readers_stay_when_the_store_refuses_some_of_them") {
    cw_hosts_by_name hosts;
    for (int i = 0; i < 6; ++i) {
        hosts["host-" + std::to_string(i)] = {"hakata", "a" + std::to_string(i), 0.2};
    }
    const auto before = cw_rank_readers(hosts, {});
    for (auto& [name, info] : hosts) {
        info.is_store_suspected = info.address != before.at("hakata").back();
    }
    CHECK(cw_rank_readers(hosts, before) == before);
}

TEST_CASE("host_without_a_domain_is_not_a_reader") {
    CHECK(cw_rank_readers({{"old", {}}}, {}).empty());
}

TEST_CASE_FIXTURE(following_host, "reader_whose_store_is_unreachable_is_skipped_at_once") {
    selector.on_status("first:1", {true, 80ms, true}, now);
    CHECK(source_after(0ms) == cw_feed_source{kind::reader, "second:1"});
    selector.on_status("second:1", {true, 80ms, true}, now);
    CHECK(source_after(0ms).reader.empty());
    CHECK(source_after(500ms).type == kind::store);
}

TEST_CASE_FIXTURE(following_host, "reader_without_changes_is_not_skipped_for_its_store_age") {
    // Largest age in normal operation: a delay of up to 563 ms between two reads of the store, a
    // watch without changes that is answered after 400 ms, and a slow answer of 250 ms.
    selector.on_status("first:1", {true, 563ms + 400ms + 250ms, false}, now);
    CHECK(source_after(0ms) == cw_feed_source{kind::reader, "first:1"});
}
