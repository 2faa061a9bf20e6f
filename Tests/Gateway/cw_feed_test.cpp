#include "cw_entry_feed.h"
#include "cw_feed_answer.h"
#include "cw_reader_choice.h"
#include "cw_reader_ranking.h"

#include <doctest/doctest.h>
#include <string>

using namespace std::chrono_literals;

namespace {

cw_upstream_entry entry(const std::string& id, std::uint64_t incarnation = 1) {
    cw_upstream_entry made;
    made.id = id;
    made.service = "gallery";
    made.address = "10.0.0.1:80";
    made.domain = "hakata";
    made.slots = 3;
    made.incarnation = incarnation;
    return made;
}

cw_upstream_entry leaving(const std::string& id) {
    auto made = entry(id);
    made.leaving = true;
    return made;
}

/// A feed that knows two upstreams as of revision 10.
struct listed_feed {
    cw_entry_feed feed;

    listed_feed() { feed.take({10, true, {entry("a"), entry("b")}, {}}); }
};

/// A host that was told of two readers of its domain.
struct following_host {
    using kind = cw_feed_source::kind;

    cw_boot_time now{100s};
    cw_reader_choice choice{"host:1", {}, 3};

    following_host() { choice.on_readers({"first:1", "second:1"}); }
    cw_feed_source at(std::chrono::milliseconds after) { return choice.source(now + after); }
    void fail(const std::string& reader) { choice.on_failure(reader, now); }
};

} // namespace

// -- entries

TEST_CASE_FIXTURE(listed_feed, "entry_written_again_with_another_warm_up_is_no_news") {
    auto again = entry("a");
    again.warm_at += 3s;
    CHECK(feed.take({11, false, {again}, {}}).is_empty());
    CHECK(feed.revision() == 11);
    CHECK_FALSE(feed.has_news_since(10));
}

TEST_CASE_FIXTURE(listed_feed,
                  "entry_that_leaves_is_told_to_a_host_that_knows_an_earlier_revision") {
    feed.take({12, false, {leaving("b")}, {}});
    feed.take({15, false, {}, {"a"}});
    CHECK(feed.has_news_since(10));
    const auto news = feed.since(10);
    CHECK_FALSE(news.is_whole);
    CHECK(news.revision == 15);
    REQUIRE(news.written.size() == 1);
    CHECK(news.written.front().leaving);
    CHECK(news.removed == std::vector<std::string>{"a"});
    CHECK(feed.since(12).written.empty());
    CHECK(feed.since(15).is_empty());
}

TEST_CASE_FIXTURE(listed_feed, "news_older_than_what_is_known_takes_nothing_back") {
    feed.take({20, false, {leaving("b")}, {}});
    CHECK(feed.take({14, false, {entry("b")}, {"a"}}).is_empty());
    CHECK(feed.take({14, true, {entry("b")}, {}}).is_empty());
    CHECK(feed.revision() == 20);
    CHECK(feed.since(0).written.size() == 2);
}

TEST_CASE_FIXTURE(listed_feed, "host_that_starts_or_knows_a_forgotten_revision_is_told_all") {
    CHECK(feed.since(0).is_whole);
    CHECK(feed.since(4).is_whole);
    for (std::uint64_t incarnation = 2; incarnation < 400; ++incarnation) {
        feed.take({10 + incarnation, false, {entry("a", incarnation)}, {}});
    }
    CHECK(feed.since(10).is_whole);
    CHECK_FALSE(feed.since(400).is_whole);
}

TEST_CASE_FIXTURE(listed_feed, "whole_list_that_lacks_an_entry_tells_of_its_removal") {
    const auto news = feed.take({30, true, {entry("a")}, {}});
    CHECK(news.written.empty());
    CHECK(news.removed == std::vector<std::string>{"b"});
}

TEST_CASE_FIXTURE(listed_feed, "entry_removed_and_written_again_is_news") {
    feed.take({11, false, {}, {"a"}});
    CHECK(feed.take({12, false, {entry("a")}, {}}).written.size() == 1);
}

TEST_CASE_FIXTURE(listed_feed, "follower_of_two_readers_ends_with_the_same_entries") {
    cw_entry_feed follower;
    follower.take(feed.since(follower.revision()));
    cw_entry_feed other = feed;
    feed.take({12, false, {leaving("b")}, {}});
    other.take({12, false, {leaving("b")}, {}});
    follower.take(feed.since(follower.revision()));
    other.take({13, false, {entry("c")}, {"a"}});
    follower.take(other.since(follower.revision()));
    // The first reader was frozen meanwhile and tells what it knew.
    follower.take(feed.since(10));
    const auto whole = follower.since(0);
    REQUIRE(whole.written.size() == 2);
    CHECK(whole.written.front().leaving);
    CHECK(whole.written.back().id == "c");
}

// -- the answer

TEST_CASE("feed_answer_written_and_read_is_the_same") {
    const cw_boot_time now{50s};
    auto warm = entry("a", 7);
    warm.warm_at = now + 1'500ms;
    cw_feed_answer answer;
    answer.word = {true, 40ms, true};
    answer.news = {9, true, {warm}, {"z"}};
    answer.config_version = 4;
    answer.config = {{"version", 4}};
    const auto read = cw_feed_answer::parse(answer.to_text(now), now + 10s);
    REQUIRE(read);
    CHECK(read->word.reads_store);
    CHECK(read->word.store_age == 40ms);
    CHECK(read->word.is_store_lost);
    CHECK(read->news.revision == 9);
    CHECK(read->news.is_whole);
    CHECK(read->news.removed == std::vector<std::string>{"z"});
    CHECK(read->news.written.front().warm_at == now + 11'500ms);
    CHECK(read->config_version == 4);
    CHECK(read->config == answer.config);
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

// -- the choice of a reader

TEST_CASE_FIXTURE(following_host, "host_with_readers_follows_the_first") {
    CHECK(at(0ms) == cw_feed_source{kind::reader, "first:1"});
}

TEST_CASE_FIXTURE(following_host, "reader_that_fails_is_replaced_by_the_next_at_once") {
    fail("first:1");
    CHECK(at(0ms) == cw_feed_source{kind::reader, "second:1"});
    CHECK(at(20s) == cw_feed_source{kind::reader, "second:1"});
}

TEST_CASE_FIXTURE(following_host, "reader_that_failed_is_followed_again_once_it_has_answered") {
    fail("first:1");
    CHECK(choice.take_questions(now).empty());
    CHECK(choice.take_questions(now + 1'500ms) == std::vector<std::string>{"first:1"});
    CHECK(choice.take_questions(now + 1'600ms).empty());
    choice.on_word("first:1", {true, 4s, false}, now + 1'600ms);
    CHECK(at(1'700ms) == cw_feed_source{kind::reader, "second:1"});
    choice.on_word("first:1", {true, 30ms, false}, now + 3'200ms);
    CHECK(at(3'200ms) == cw_feed_source{kind::reader, "first:1"});
    CHECK(choice.take_questions(now + 9s).empty());
}

TEST_CASE_FIXTURE(following_host,
                  "host_that_reads_the_store_keeps_to_it_until_a_reader_has_answered") {
    choice.on_readers({"first:1", "host:1"});
    fail("first:1");
    for (const auto after : {0ms, 2'000ms, 4'000ms, 8'000ms}) {
        CHECK(at(after).what == kind::store);
    }
}

TEST_CASE_FIXTURE(following_host, "host_named_second_reads_the_store_when_the_first_fails") {
    choice.on_readers({"first:1", "host:1", "third:1"});
    CHECK(at(0ms) == cw_feed_source{kind::reader, "first:1"});
    fail("first:1");
    CHECK(at(0ms).what == kind::store);
    CHECK(choice.is_named());
}

TEST_CASE_FIXTURE(following_host,
                  "hosts_that_lose_all_readers_turn_to_the_store_spread_over_time") {
    std::size_t early = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        cw_reader_choice other{"host:1", {}, seed * 7'919};
        other.on_readers({"first:1"});
        other.on_failure("first:1", now);
        CHECK(other.source(now).reader.empty());
        early += other.source(now + 100ms).what == kind::store ? 1 : 0;
        CHECK(other.source(now + 401ms).what == kind::store);
    }
    CHECK(early > 20);
    CHECK(early < 90);
}

TEST_CASE_FIXTURE(following_host,
                  "host_that_has_turned_to_the_store_stays_there_when_readers_fail_anew") {
    choice.on_readers({"first:1"});
    fail("first:1");
    at(0ms);
    REQUIRE(at(500ms).what == kind::store);
    now += 3s;
    fail("first:1");
    CHECK(at(0ms).what == kind::store);
}

TEST_CASE_FIXTURE(following_host, "reader_that_does_not_read_the_store_is_not_followed") {
    choice.on_word("first:1", {false, 0ms, false}, now);
    CHECK(at(0ms) == cw_feed_source{kind::reader, "second:1"});
    CHECK(choice.take_questions(now + 60ms) == std::vector<std::string>{"first:1"});
    choice.on_word("first:1", {true, 0ms, false}, now + 62ms);
    CHECK(at(100ms) == cw_feed_source{kind::reader, "first:1"});
}

TEST_CASE_FIXTURE(following_host, "reader_that_the_store_does_not_answer_is_passed_over") {
    choice.on_word("first:1", {true, 1'400ms, false}, now);
    CHECK(at(0ms) == cw_feed_source{kind::reader, "second:1"});
}

TEST_CASE("host_that_nobody_names_a_reader_reads_the_store_after_a_while") {
    cw_reader_choice choice{"host:1", {}, 3};
    const cw_boot_time now{100s};
    CHECK(choice.source(now).what == cw_feed_source::kind::none);
    CHECK(choice.source(now + 600ms).what == cw_feed_source::kind::none);
    CHECK(choice.source(now + 701ms).what == cw_feed_source::kind::store);
}

// -- the order of readers

TEST_CASE("readers_of_a_domain_are_its_strongest_hosts") {
    cw_host_places hosts;
    for (int i = 0; i < 40; ++i) {
        hosts["host-" + std::to_string(i)] = {i % 2 == 0 ? "hakata" : "tenjin",
                                              "10.0.0." + std::to_string(i) + ":7",
                                              i >= 30 ? 0.5 : 0.1};
    }
    const auto orders = cw_rank_readers(hosts, {});
    REQUIRE(orders.size() == 2);
    for (const auto& [domain, order] : orders) {
        CHECK(order.size() == cw_readers_each_domain);
        for (const auto& address : order) {
            CHECK(address.substr(0, 8) == "10.0.0.3");
        }
    }
}

TEST_CASE("readers_stay_when_an_equally_strong_host_comes") {
    cw_host_places hosts;
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

TEST_CASE("host_that_tells_no_domain_is_not_named") {
    CHECK(cw_rank_readers({{"old", {}}}, {}).empty());
}

TEST_CASE_FIXTURE(following_host, "reader_that_the_store_turns_away_is_passed_over_at_once") {
    choice.on_word("first:1", {true, 80ms, true}, now);
    CHECK(at(0ms) == cw_feed_source{kind::reader, "second:1"});
    choice.on_word("second:1", {true, 80ms, true}, now);
    CHECK(at(0ms).reader.empty());
    CHECK(at(500ms).what == kind::store);
}

TEST_CASE_FIXTURE(following_host, "reader_in_a_calm_day_is_never_passed_over_for_its_age") {
    // A look each 0.5 s, an answer without news after 0.4 s, and a slow answer.
    choice.on_word("first:1", {true, 563ms + 400ms + 250ms, false}, now);
    CHECK(at(0ms) == cw_feed_source{kind::reader, "first:1"});
}
