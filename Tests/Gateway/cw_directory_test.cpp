#include "cw_gateway_settings.h"
#include "cw_key_load.h"
#include "cw_key_planner.h"
#include "cw_select_upstream.h"
#include "cw_table_change_log.h"
#include "cw_upstream_directory.h"
#include "cw_upstream_speeds.h"
#include "cw_upstream_stats.h"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace std::chrono_literals;

namespace {

const cw_boot_time start{1'000s};

cw_upstream_entry entry(const std::string& id, std::uint64_t incarnation,
                        const std::string& domain = "z") {
    cw_upstream_entry made;
    made.id = id;
    made.service = "s";
    made.address = "10.0.0.1:1";
    made.domain = domain;
    made.slots = 3;
    made.incarnation = incarnation;
    return made;
}

cw_key_candidate candidate(const std::string& id, double capacity = 3.0) {
    return {{id, 1, "10.0.0.1:1"}, capacity, true, false};
}

std::vector<cw_key_candidate> many_candidates(int count) {
    std::vector<cw_key_candidate> list;
    for (int i = 0; i < count; ++i) {
        list.push_back(candidate("u" + std::to_string(i)));
    }
    return list;
}

std::vector<double> even_sums() {
    cw_key_load load{2s};
    return load.prefix_sums(start);
}

/// A new table whose keys are shared evenly by the candidates.
cw_key_table table_shared_among(const std::vector<cw_key_candidate>& candidates) {
    cw_key_table table;
    table.apply(cw_plan_key_moves(table, candidates, even_sums(), 0.0, {}));
    return table;
}

/// Four candidates that own a quarter each.
struct evenly_shared {
    std::vector<cw_key_candidate> candidates{candidate("a"), candidate("b"), candidate("c"),
                                             candidate("d")};
    cw_key_table table = table_shared_among(candidates);

    std::map<std::string, std::uint32_t> keys() const {
        std::map<std::string, std::uint32_t> count;
        for (const auto& range : table.ranges) {
            count[range.owner.id] += range.size();
        }
        return count;
    }
};

} // namespace

TEST_CASE("directory_entry_removed_without_an_outage_is_gone_at_once") {
    cw_upstream_directory directory{2'500ms};
    CHECK(directory.on_list({entry("a", 1), entry("b", 1)}, start));
    CHECK(directory.on_removed("a", start + 1s));
    CHECK(directory.find("a") == nullptr);
    CHECK(directory.find("b") != nullptr);
}

TEST_CASE("directory_entry_missing_after_an_outage_is_gone_only_when_it_stays_away") {
    cw_upstream_directory directory{2'500ms};
    directory.on_list({entry("a", 1), entry("b", 1)}, start);
    directory.defer_removals(start + 1s);
    CHECK_FALSE(directory.on_list({}, start + 2s));
    CHECK(directory.find("a") != nullptr);
    directory.on_entry(entry("b", 1));
    CHECK(directory.on_tick(start + 4s));
    CHECK(directory.find("a") == nullptr);
    CHECK(directory.find("b") != nullptr);
}

TEST_CASE("directory_entry_of_an_older_incarnation_changes_nothing") {
    cw_upstream_directory directory{2'500ms};
    directory.on_list({entry("a", 5)}, start);
    CHECK_FALSE(directory.on_entry(entry("a", 4)));
    CHECK(directory.find("a")->incarnation == 5);
    CHECK(directory.on_entry(entry("a", 6)));
    CHECK(directory.find("a")->incarnation == 6);
}

TEST_CASE_FIXTURE(evenly_shared, "plan_for_a_new_table_gives_each_candidate_its_share") {
    for (const auto& [id, count] : keys()) {
        CHECK(count == doctest::Approx(16'384).epsilon(0.01));
    }
    CHECK(table.ranges.size() == 4);
    CHECK(cw_plan_key_moves(table, candidates, even_sums(), 0.0, {}).empty());
}

TEST_CASE_FIXTURE(evenly_shared, "plan_for_a_lost_owner_moves_its_keys_only_in_few_pieces") {
    candidates.pop_back();
    const auto moves = cw_plan_key_moves(table, candidates, even_sums(), 0.0, {});
    CHECK(moves.size() <= 3);
    std::uint32_t moved = 0;
    for (const auto& move : moves) {
        moved += move.last - move.first + 1;
    }
    CHECK(moved == 16'384);
}

TEST_CASE_FIXTURE(evenly_shared,
                  "plan_for_a_lost_owner_beside_cold_candidates_makes_no_small_pieces") {
    candidates.pop_back();
    for (const char* id : {"e", "f"}) {
        candidates.push_back(candidate(id));
        candidates.back().warm = false;
    }
    CHECK(cw_plan_key_moves(table, candidates, even_sums(), 0.0, {}).size() <= 3);
}

TEST_CASE_FIXTURE(evenly_shared, "plan_for_a_new_candidate_gives_it_a_part_of_one_range") {
    candidates.push_back(candidate("e"));
    const auto moves = cw_plan_key_moves(table, candidates, even_sums(), 0.0, {});
    REQUIRE(moves.size() == 1);
    CHECK(moves.front().to.id == "e");
}

TEST_CASE_FIXTURE(evenly_shared,
                  "plan_for_busy_adjacent_keys_moves_part_of_them_to_the_least_utilized") {
    cw_key_load load{2s};
    std::vector<cw_key_count> counts;
    for (std::uint32_t key = 100; key < 200; ++key) {
        counts.push_back({key, 10});
    }
    load.on_report(counts, start);
    cw_key_plan_options options;
    const auto moves = cw_plan_key_moves(table, candidates, load.prefix_sums(start),
                                         load.total_rate(start), options);
    REQUIRE_FALSE(moves.empty());
    CHECK(moves.size() <= options.max_moves);
    for (const auto& move : moves) {
        CHECK(move.last < 16'384);
    }
}

TEST_CASE("plan_for_many_upstreams_with_few_requests_each_moves_nothing_by_chance") {
    const auto candidates = many_candidates(140);
    auto table = table_shared_among(candidates);
    cw_key_load load{2s};
    std::minstd_rand engine{1};
    std::uniform_int_distribution<std::uint32_t> any_key{0, cw_last_key};
    for (auto now = start; now < start + 20s; now += 8ms) {
        load.on_report({{any_key(engine), 1}}, now);
    }
    const auto now = start + 20s;
    CHECK(cw_plan_key_moves(table, candidates, load.prefix_sums(now), load.total_rate(now), {})
              .empty());
}

TEST_CASE("plan_for_popular_adjacent_keys_in_a_large_service_reaches_many_owners_within_seconds") {
    // 200 adjacent keys get 35% of 2,000 requests a second.
    const auto candidates = many_candidates(128);
    auto table = table_shared_among(candidates);
    cw_key_load load{2s};
    auto now = start;
    std::mt19937 engine{5};
    const auto confirm_moves = [&table] {
        for (auto& range : table.ranges) {
            range.previous_owners.clear();
        }
    };
    confirm_moves();
    for (int plan = 0; plan < 8; ++plan) {
        std::vector<cw_key_count> counts;
        for (int i = 0; i < 1'000; ++i) {
            const bool popular = engine() % 100 < 35;
            const auto key = popular ? 30'000 + engine() % 200 : engine() % 65'536;
            counts.push_back({static_cast<std::uint32_t>(key), 1});
        }
        now += 500ms;
        load.on_report(counts, now);
        table.apply(
            cw_plan_key_moves(table, candidates, load.prefix_sums(now), load.total_rate(now), {}));
        confirm_moves();
    }
    std::map<std::string, double> loads;
    const auto sums = load.prefix_sums(now);
    for (const auto& range : table.ranges) {
        loads[range.owner.id] += sums[range.last + 1] - sums[range.first];
    }
    const double mean = load.total_rate(now) / 128;
    for (const auto& owner : loads) {
        CHECK_MESSAGE(owner.second < 2.2 * mean, owner.first);
    }
}

TEST_CASE_FIXTURE(evenly_shared, "plan_for_one_overwhelming_key_leaves_it_where_it_is") {
    cw_key_load load{2s};
    load.on_report({{500, 1'000}}, start);
    for (const auto& move : cw_plan_key_moves(table, candidates, load.prefix_sums(start),
                                              load.total_rate(start), {})) {
        CHECK_FALSE((move.first <= 500 && 500 <= move.last));
    }
}

TEST_CASE("key_table_written_and_read_again_is_the_same") {
    evenly_shared made;
    made.table.steward = {"h", 7, "h:1"};
    made.table.predecessors = {{"g", 3, "g:1"}};
    made.table.apply({{100, 200, {"d", 1, "d:1"}}});
    const auto read = cw_key_table::parse(made.table.to_json());
    REQUIRE(read);
    CHECK(read->ranges == made.table.ranges);
    CHECK(read->predecessors == made.table.predecessors);
    CHECK(read->range_of(150).is_moving());
    CHECK(read->range_of(150).previous_owners.front().id == "a");
    for (const char* invalid : {"", "{}", "[]", R"({"term":1})"}) {
        CHECK_FALSE(cw_key_table::parse(invalid));
    }
}

TEST_CASE_FIXTURE(evenly_shared, "key_table_with_its_changes_is_the_later_copy") {
    auto later = table;
    later.apply({{100, 200, {"d", 1, "d:1"}}, {30'000, 40'000, {"a", 1, "a:1"}}});
    later.edition = table.edition + 3;
    later.merge_settled_ranges();
    const auto read = cw_key_table::parse_changes(later.changes_since(table).to_json());
    REQUIRE(read);
    CHECK(read->ranges.size() < later.ranges.size());
    const auto made = table.with_changes(*read);
    REQUIRE(made);
    CHECK(made->to_json() == later.to_json());
    CHECK(made->digest() == later.digest());
    CHECK(made->digest() != table.digest());
}

TEST_CASE_FIXTURE(evenly_shared, "key_table_with_changes_to_another_copy_is_refused") {
    cw_key_table cut;
    cut.apply({{100, 200, {"d", 1, "d:1"}}});
    auto later = cut;
    later.apply({{100, 200, {"a", 1, "a:1"}}});
    CHECK_FALSE(table.with_changes(later.changes_since(cut)));
}

TEST_CASE_FIXTURE(evenly_shared, "table_delta_for_a_host_with_a_recent_copy_has_only_the_changes") {
    cw_table_change_log change_log;
    change_log.on_table(std::make_shared<const cw_key_table>(table));
    auto later = table;
    later.apply({{100, 200, {"d", 1, "d:1"}}});
    ++later.edition;
    change_log.on_table(std::make_shared<const cw_key_table>(later));
    const auto& delta = change_log.delta_since(cw_table_version::of(table));
    CHECK_FALSE(delta.is_full);
    const auto changes = cw_key_table::parse_changes(delta.text);
    REQUIRE(changes);
    // The moved keys, and the rest of their range on both sides.
    CHECK(changes->ranges.size() == 3);
    CHECK(change_log.delta_since(cw_table_version::of(later)).text.empty());
}

TEST_CASE_FIXTURE(evenly_shared, "table_delta_for_a_host_hundreds_of_changes_behind_is_short") {
    cw_table_change_log change_log;
    change_log.on_table(std::make_shared<const cw_key_table>(table));
    auto later = table;
    // A popular key changes its owner each time, and the adjacent settled ranges are merged.
    for (std::uint32_t i = 0; i < 400; ++i) {
        const cw_key_owner owner{i % 2 == 0 ? "d" : "b", 1, "x:1"};
        later.apply({{20'000 + i % 7, 20'000 + i % 7, owner}});
        for (auto& range : later.ranges) {
            range.previous_owners.clear();
        }
        later.merge_settled_ranges();
        ++later.edition;
        change_log.on_table(std::make_shared<const cw_key_table>(later));
    }
    const auto& delta = change_log.delta_since(cw_table_version::of(table));
    CHECK_FALSE(delta.is_full);
    const auto changes = cw_key_table::parse_changes(delta.text);
    REQUIRE(changes);
    CHECK(changes->ranges.size() < later.ranges.size());
    const auto made = table.with_changes(*changes);
    REQUIRE(made);
    CHECK(made->to_json() == later.to_json());
}

TEST_CASE_FIXTURE(evenly_shared, "table_delta_for_a_host_with_an_unknown_copy_is_the_full_table") {
    cw_table_change_log change_log;
    auto later = table;
    later.edition = table.edition + 1;
    change_log.on_table(std::make_shared<const cw_key_table>(later));
    CHECK(change_log.delta_since({}).text == later.to_json());
    // The same term and edition, but other ranges.
    auto other = cw_table_version::of(table);
    ++other.digest;
    CHECK(change_log.delta_since(other).is_full);
}

TEST_CASE("upstream_selection_prefers_the_own_domain_while_it_answers_in_time") {
    const std::vector<cw_upstream_entry> upstreams{entry("far", 1, "other"), entry("near", 1, "z")};
    std::map<std::string, cw_upstream_stats> stats_by_id;
    const auto stats_of = [&](const cw_upstream_entry& upstream) -> const cw_upstream_stats& {
        return stats_by_id[upstream.id];
    };
    const auto answered = [&](const char* id, std::chrono::milliseconds latency) {
        stats_by_id[id].on_sent();
        stats_by_id[id].on_answer(latency, std::nullopt, start);
    };
    answered("far", 10ms);
    answered("near", 100ms);
    const cw_selection_criteria criteria{"z", 250ms, nullptr, 0};
    CHECK(cw_select_upstream(upstreams, criteria, stats_of, start)->id == "near");
    const cw_selection_criteria urgent_criteria{"z", 50ms, nullptr, 0};
    CHECK(cw_select_upstream(upstreams, urgent_criteria, stats_of, start)->id == "far");
}

TEST_CASE("upstream_selection_skips_upstreams_that_were_tried_or_failed_recently") {
    const std::vector<cw_upstream_entry> upstreams{entry("a", 1), entry("b", 1)};
    std::map<std::string, cw_upstream_stats> stats_by_id;
    const auto stats_of = [&](const cw_upstream_entry& upstream) -> const cw_upstream_stats& {
        return stats_by_id[upstream.id];
    };
    const std::vector<std::string> tried{"a"};
    CHECK(cw_select_upstream(upstreams, {"z", 1s, &tried, 0}, stats_of, start)->id == "b");
    const std::vector<std::string> both{"a", "b"};
    CHECK(cw_select_upstream(upstreams, {"z", 1s, &both, 0}, stats_of, start) == nullptr);
    for (int i = 0; i < 2; ++i) {
        stats_by_id["b"].on_sent();
        stats_by_id["b"].on_failure(start);
    }
    for (std::uint64_t random_number = 0; random_number < 4; ++random_number) {
        CHECK(
            cw_select_upstream(upstreams, {"z", 1s, nullptr, random_number}, stats_of, start)->id ==
            "a");
    }
    CHECK(cw_select_upstream(upstreams, {"z", 1s, &tried, 0}, stats_of, start)->id == "b");
}

TEST_CASE("upstream_stats_after_repeated_shedding_have_a_longer_shedding_time") {
    cw_upstream_stats stats;
    const auto shed = [&](cw_boot_time at) {
        stats.on_sent();
        stats.on_shed(at);
        return stats.shedding_until() - at;
    };
    CHECK(shed(start) == 100ms);
    // A request that was sent together with the first one does not lengthen the time.
    CHECK(shed(start + 10ms) == 90ms);
    CHECK(shed(start + 200ms) == 200ms);
    CHECK(shed(start + 500ms) == 400ms);
    CHECK(shed(start + 1s) == 400ms);
    stats.on_sent();
    stats.on_answer(100ms, std::nullopt, start + 2s);
    CHECK(shed(start + 3s) == 100ms);
}

TEST_CASE("upstream_stats_expect_a_wait_when_all_slots_are_taken") {
    cw_upstream_stats stats;
    stats.on_sent();
    stats.on_answer(100ms, cw_reported_load{3, 6, 3}, start);
    CHECK(stats.expected_time(3, start) > 2 * stats.service_time());
    // The load that other hosts caused there expires with time.
    CHECK(stats.expected_time(3, start + 10s) < 2 * stats.service_time());
}

TEST_CASE("settings_with_several_mistakes_name_them_all") {
    const auto read = cw_read_gateway_settings(
        R"({"host": "", "domain": 5, "listen": "x", "admin": "127.0.0.1:1", "peer_port": 0,
            "store": "127.0.0.1:9", "retry_share": 7})");
    REQUIRE_FALSE(read);
    std::set<std::string> named;
    for (const auto& mistake : read.error()) {
        named.insert(mistake.substr(0, mistake.find(':')));
    }
    CHECK(named == std::set<std::string>{"host", "domain", "listen", "peer_port", "retry_share"});
    CHECK_FALSE(cw_read_gateway_settings("no json"));
}

TEST_CASE("settings_that_are_valid_are_applied_and_unknown_names_ignored") {
    const auto read = cw_read_gateway_settings(
        R"({"host": "h", "domain": "z", "listen": "127.0.0.1:5", "admin": "127.0.0.1:6", "new": 1,
            "peer_port": 7, "store": "127.0.0.1:9", "stop_grace_s": 6.5, "longest_lease_s": 0.4,
            "config_bound_s": 2.5})");
    REQUIRE(read);
    CHECK(read->config_bound == 2'500ms);
    CHECK(read->peer_address.port == 7);
    CHECK(read->stop_grace == 6'500ms);
    CHECK(read->ownership.lease == 400ms);
}

TEST_CASE("upstream_that_announced_its_shutdown_stays_leaving_until_a_new_incarnation") {
    cw_upstream_directory directory{2'500ms};
    directory.on_list({entry("u", 3)}, start);
    CHECK(directory.on_leaving("u", 3));
    CHECK_FALSE(directory.on_leaving("u", 3));
    CHECK_FALSE(directory.on_entry(entry("u", 3)));
    CHECK(directory.find("u")->leaving);
    CHECK(directory.on_entry(entry("u", 4)));
    CHECK_FALSE(directory.find("u")->leaving);
    CHECK_FALSE(directory.on_leaving("u", 3));
    CHECK_FALSE(directory.find("u")->leaving);
}

TEST_CASE("upstream_that_announced_its_shutdown_before_its_entry_is_known_is_leaving") {
    cw_upstream_directory directory{2'500ms};
    CHECK_FALSE(directory.on_leaving("u", 3));
    directory.on_entry(entry("u", 3));
    CHECK(directory.find("u")->leaving);
}

TEST_CASE("speeds_of_upstreams_are_distinguished_once_enough_answers_were_seen") {
    cw_upstream_speeds speeds;
    speeds.add({"slow", 8, 8 * 0.4});
    CHECK(speeds.relative_speed("slow", speeds.mean_speed()) == doctest::Approx(1.0));
    speeds.add({"slow", 40, 40 * 0.4});
    speeds.add({"fast", 40, 40 * 0.2});
    const auto mean = speeds.mean_speed();
    CHECK(mean == doctest::Approx(3.75));
    CHECK(speeds.relative_speed("slow", mean) == doctest::Approx(2.5 / 3.75));
    CHECK(speeds.relative_speed("fast", mean) == doctest::Approx(5.0 / 3.75));
    CHECK(speeds.has_enough_for(2));
    CHECK_FALSE(speeds.has_enough_for(4));
    speeds.retain(std::map<std::string, int>{{"fast", 1}});
    CHECK(speeds.relative_speed("slow", speeds.mean_speed()) == doctest::Approx(1.0));
}

TEST_CASE("speed_that_changes_is_followed_and_nonsense_ignored") {
    cw_upstream_speeds speeds;
    speeds.add({"a", 200, 200 * 0.2});
    speeds.add({"b", 200, 200 * 0.2});
    for (int i = 0; i < 10; ++i) {
        speeds.add({"b", 100, 100 * 0.8});
        speeds.add({"a", 0, 5.0});
        speeds.add({"a", 50, -1.0});
    }
    CHECK(speeds.relative_speed("b", speeds.mean_speed()) < 0.5);
    CHECK(speeds.relative_speed("a", speeds.mean_speed()) > 1.4);
}

TEST_CASE("keys_of_a_service_with_slow_upstreams_are_rebalanced_by_speed") {
    // Three upstreams, one of them with 0.6 of the others' speed, and even traffic over all keys.
    const cw_key_plan_options options;
    cw_key_table table;
    table.apply({{0, 21'844, {"u0", 1, "10.0.0.1:1"}},
                 {21'845, 43'689, {"u1", 1, "10.0.0.1:1"}},
                 {43'690, cw_last_key, {"u2", 1, "10.0.0.1:1"}}});
    for (auto& range : table.ranges) {
        range.previous_owners.clear();
    }
    std::vector<double> sums;
    for (std::uint32_t key = 0; key <= cw_last_key + 1; ++key) {
        sums.push_back(900.0 * key / (cw_last_key + 1));
    }
    const std::vector<cw_key_candidate> list{candidate("u0", 3.0 * 0.6), candidate("u1"),
                                             candidate("u2")};
    const auto moves = cw_plan_key_moves(table, list, sums, 900.0, options);
    REQUIRE_FALSE(moves.empty());
    for (const auto& move : moves) {
        CHECK(table.range_of(move.first).owner.id == "u0");
    }
}
