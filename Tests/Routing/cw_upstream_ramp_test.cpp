#include "cw_select_upstream.h"
#include "cw_slow_start_simulation.h"
#include "cw_upstream_ramp.h"
#include "cw_upstream_ramps.h"
#include "cw_upstream_stats.h"
#include "cw_usual_service_time.h"

#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

using simulation = cw_slow_start_simulation;
using sim_seconds = cw_slow_start_simulation::seconds;

constexpr cw_boot_time start{1'000s};
/// Time that growth without responses takes from the initial share to the whole part.
constexpr auto time_of_growth_alone = 1'500ms;

cw_upstream_entry entry(const std::string& id, std::uint64_t incarnation = 1) {
    cw_upstream_entry made;
    made.id = id;
    made.service = "svc";
    made.domain = "z";
    made.slots = 6;
    made.incarnation = incarnation;
    return made;
}

cw_upstream_ramps::lists list(std::vector<cw_upstream_entry> upstreams) {
    return {{"svc", std::move(upstreams)}};
}

cw_upstream_ramp new_ramp() {
    return {cw_upstream_ramp::reason::started, start};
}

/// A response to a request that was sent 10 ms before; the usual time is 10 ms.
cw_ramp_response response(cw_boot_time sent_at, bool is_success = true) {
    return {sent_at, is_success, cw_reported_load{2, 0, 6}, 10ms};
}

/// Ramps of a host that has known the upstream "warm" from its start, and "new" since `start`.
struct known_ramps {
    explicit known_ramps(std::chrono::milliseconds cold_start = 3s, bool keyed = false)
        : config{cw_slow_start_config(cold_start, keyed)} {
        ramps.set_config(&config);
        ramps.apply({}, list({entry("warm")}), start - 10s);
        ramps.apply(list({entry("warm")}), list({entry("warm"), entry("new")}), start);
    }

    cw_site_config config;
    cw_upstream_ramps ramps;
};

/// Records so many answers that the service time is certain.
void answer_often(cw_upstream_stats& stats, std::chrono::milliseconds latency) {
    for (int i = 0; i < 16; ++i) {
        stats.on_sent();
        stats.on_answer(latency, std::nullopt, start);
    }
}

/// Requests a second that one upstream gets when all get the same.
double even_rate(const simulation::options& chosen) {
    return chosen.demand * simulation::even_part;
}

} // namespace

// Guards against a flood of an upstream that has just started: each host alone sends it little, and
// all hosts together its whole part, or all their next requests, at once.
TEST_CASE("new_upstream_gets_a_quarter_of_its_part_in_its_first_second_and_all_after_five") {
    struct service {
        double seconds;
        std::uint32_t slots;
    };
    // The service time that is assumed of an upstream without answers lies between the two.
    for (const auto& tried : {service{0.010, 6}, service{0.300, 200}}) {
        for (const std::size_t hosts : {1U, 10U, 71U, 4'700U}) {
            simulation::options chosen;
            chosen.hosts = hosts;
            chosen.service_seconds = tried.seconds;
            chosen.slots = tried.slots;
            // A single host prefers the upstreams whose smoothed times are shortest by chance, so
            // that with a wide spread no upstream gets an even part. Many hosts prefer different
            // ones.
            chosen.spread = hosts == 1 ? 0.05 : 0.2;
            simulation simulated{chosen};
            simulated.run(-2s, 8s);
            const auto first = static_cast<double>(simulated.requests(0s, 1s));
            const auto later = static_cast<double>(simulated.requests(5s, 8s)) / 3.0;
            CAPTURE(tried.seconds);
            CAPTURE(hosts);
            CAPTURE(first);
            CAPTURE(later);
            CHECK(first <= later / 4.0);
            CHECK(first > 0.0);
            CHECK(later >= 0.8 * even_rate(chosen));
            CHECK(later <= 1.2 * even_rate(chosen));
            // In no tenth of a second does it get twice its part, neither when the ramp ends.
            CHECK(static_cast<double>(simulated.peak_requests(100ms)) <=
                  2.0 * even_rate(chosen) / 10.0);
            CHECK(simulated.ramping_hosts(8s) == 0);
        }
    }
}

// Guards against growth by time alone, which pushes an upstream that cannot do its part yet.
TEST_CASE("upstream_that_answers_busy_or_late_is_not_pushed") {
    for (const auto observed : {simulation::behavior::busy, simulation::behavior::late}) {
        for (const std::size_t hosts : {1U, 10U, 71U}) {
            simulation::options chosen;
            chosen.hosts = hosts;
            chosen.observed = observed;
            simulation simulated{chosen};
            simulated.run(-2s, 12s);
            const auto soon = static_cast<double>(simulated.requests(1s, 5s)) / 4.0;
            const auto later = static_cast<double>(simulated.requests(9s, 12s)) / 3.0;
            CAPTURE(hosts);
            CHECK(soon <= even_rate(chosen) / 4.0);
            CHECK(later <= even_rate(chosen) / 4.0);
        }
    }
}

// Guards against an upstream that fails again because it gets its full part with its first answer.
TEST_CASE("upstream_that_recovers_after_failures_does_not_get_its_full_part_at_once") {
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        simulation::options chosen;
        chosen.seed = seed;
        chosen.recovers = true;
        simulation simulated{chosen};
        simulated.run(-2s, 10s);
        REQUIRE(simulated.first_answer());
        const auto answered = *simulated.first_answer();
        const auto first = static_cast<double>(simulated.requests(answered, answered + 1s));
        const auto later = static_cast<double>(simulated.requests(7s, 10s)) / 3.0;
        CAPTURE(seed);
        CAPTURE(first);
        CAPTURE(later);
        CHECK(first <= later / 3.0);
        CHECK(later >= 0.8 * even_rate(chosen));
    }
}

// Guards against an upstream that is ready and is left idle for longer than necessary.
TEST_CASE("upstream_whose_answers_are_good_gets_its_part_sooner_than_by_time_alone") {
    constexpr auto sooner = time_of_growth_alone - 200ms;
    for (const std::size_t hosts : {1U, 10U}) {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            simulation::options chosen;
            chosen.hosts = hosts;
            chosen.seed = seed;
            // Little enough that no request waits at an upstream and is late for it.
            chosen.demand = 2'000.0;
            simulation simulated{chosen};
            simulated.run(-2s, sooner);
            CAPTURE(hosts);
            CAPTURE(seed);
            // Some hosts have had a slow response and choose others until time ends the ramp.
            CHECK(simulated.ramping_hosts(sooner) <= hosts / 2);
        }
    }
    auto ramp = new_ramp();
    for (auto time = start + 10ms; !ramp.is_over(time); time += 10ms) {
        ramp.on_good_response(time - 10ms, time);
    }
    CHECK(ramp.changed_at() == start + 1'010ms);
}

TEST_CASE("ramp_without_responses_doubles_its_share_every_half_second_until_it_is_over") {
    auto ramp = new_ramp();
    CHECK(ramp.share(start) == 0.125);
    CHECK(ramp.share(start + 499ms) == 0.125);
    CHECK(ramp.share(start + 500ms) == 0.25);
    CHECK(ramp.share(start + 1s) == 0.5);
    CHECK_FALSE(ramp.is_over(start + 1'499ms));
    CHECK(ramp.is_over(start + time_of_growth_alone));
    CHECK(ramp.changed_at() == start + time_of_growth_alone);
}

TEST_CASE("ramp_admits_the_draws_below_its_share_only") {
    auto ramp = new_ramp();
    CHECK(ramp.admits(0.0, start));
    CHECK(ramp.admits(0.124, start));
    CHECK_FALSE(ramp.admits(0.125, start));
    CHECK(ramp.admits(0.499, start + 1s));
}

// Guards against a host with many requests that ends its ramp with its first three responses.
TEST_CASE("ramp_is_not_raised_by_responses_of_its_first_second") {
    auto ramp = new_ramp();
    for (auto time = start; time < start + 1s; time += 10ms) {
        ramp.on_good_response(time, time);
    }
    CHECK(ramp.share(start + 999ms) == 0.25);
}

// Guards against a ramp that ends by one burst: the responses to requests that were sent together.
TEST_CASE("ramp_is_raised_once_by_the_responses_to_requests_sent_together") {
    auto ramp = new_ramp();
    ramp.on_bad_response(start + 890ms, start + 900ms);
    CHECK(ramp.share(start + 1'100ms) == 0.125);
    for (int i = 0; i < 3; ++i) {
        ramp.on_good_response(start + 1'100ms, start + 1'200ms);
    }
    CHECK(ramp.share(start + 1'200ms) == 0.25);
    ramp.on_good_response(start + 1'200ms, start + 1'300ms);
    CHECK(ramp.share(start + 1'300ms) == 0.5);
    ramp.on_good_response(start + 1'300ms, start + 1'400ms);
    CHECK(ramp.is_over(start + 1'400ms));
    CHECK(ramp.good_responses() == 5);
    CHECK(ramp.bad_responses() == 1);
}

TEST_CASE("ramp_with_bad_responses_halves_its_share_and_stops_growing_by_time") {
    auto ramp = new_ramp();
    CHECK(ramp.share(start + 1s) == 0.5);
    // Sent before the last growth by time, as a request that reaches its deadline.
    ramp.on_bad_response(start + 100ms, start + 1s);
    CHECK(ramp.share(start + 1s) == 0.25);
    // Sent together with it.
    ramp.on_bad_response(start + 999ms, start + 1s);
    CHECK(ramp.share(start + 1s) == 0.25);
    // The stop of half a second, then the usual half.
    CHECK(ramp.share(start + 1'999ms) == 0.25);
    CHECK(ramp.share(start + 2s) == 0.5);
    for (int i = 0; i < 10; ++i) {
        ramp.on_bad_response(start + 2s, start + 2s);
    }
    CHECK(ramp.share(start + 2s) == 0.0625);
    // It is not excluded for good, and time alone ends the ramp later than the refusals of a host
    // with few requests are apart.
    CHECK(ramp.share(start + 3s) == 0.125);
    CHECK(ramp.share(start + 4s) == 0.5);
    CHECK(ramp.share(start + 6'999ms) == 0.5);
    CHECK(ramp.is_over(start + 7s));
}

// Guards against a part that was restored during the warm-up, in which the upstream takes little.
TEST_CASE("ramp_of_a_cold_upstream_begins_when_its_warm_up_ends") {
    known_ramps known;
    auto cold = entry("cold");
    cold.warm_at = start + 3s;
    known.ramps.apply(list({entry("warm")}), list({entry("warm"), cold}), start);
    auto* ramp = known.ramps.find(cold, start + 3'499ms);
    REQUIRE(ramp != nullptr);
    CHECK(ramp->share(start + 3'499ms) == 0.125);
    CHECK(ramp->share(start + 3'500ms) == 0.25);
    CHECK(known.ramps.find(cold, start + 4'500ms) == nullptr);
}

TEST_CASE("upstream_that_becomes_cold_again_begins_another_ramp") {
    known_ramps known;
    auto again = entry("warm");
    again.warm_at = start + 10s;
    const auto listed = list({entry("warm"), entry("new")});
    known.ramps.apply(listed, list({again, entry("new")}), start + 7s);
    REQUIRE(known.ramps.find(again, start + 10s) != nullptr);
    CHECK(known.ramps.find(again, start + 10s)->share(start + 10s) == 0.125);
    // A copy of the entry with another lag does not.
    auto lagging = entry("new");
    lagging.warm_at = start + 7'400ms;
    known_ramps other;
    auto first = entry("new");
    first.warm_at = start + 7s;
    other.ramps.apply(list({first}), list({lagging}), start + 6s);
    CHECK(other.ramps.find(lagging, start + 6s) == nullptr);
}

// Guards against state for an upstream to which a host sends hardly anything.
TEST_CASE("host_with_few_requests_ends_the_ramp_by_time") {
    known_ramps known;
    CHECK(known.ramps.size() == 1);
    CHECK(known.ramps.find(entry("new"), start + 1'499ms) != nullptr);
    CHECK(known.ramps.find(entry("new"), start + time_of_growth_alone) == nullptr);
    CHECK(known.ramps.take_changes().size() == 1);
    known.ramps.drop_ended(start + 20s);
    CHECK(known.ramps.is_empty());
    const auto changes = known.ramps.take_changes();
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().is_end);
    CHECK(changes.front().id == "new");
    CHECK(changes.front().share == 1.0);
    CHECK(changes.front().duration == time_of_growth_alone);
}

// Guards against a restarted host that takes all upstreams for new ones.
TEST_CASE("first_list_at_the_start_of_the_host_starts_no_ramp") {
    cw_upstream_ramps ramps;
    const auto config = cw_slow_start_config(3s);
    ramps.set_config(&config);
    ramps.apply({}, {}, start);
    ramps.apply(list({}), list({entry("a"), entry("b")}), start);
    CHECK(ramps.is_empty());
    CHECK(ramps.take_changes().empty());
    // An upstream that starts again is a new incarnation.
    ramps.apply(list({entry("a"), entry("b")}), list({entry("a", 2), entry("b")}), start);
    CHECK(ramps.size() == 1);
    CHECK(ramps.find(entry("a", 2), start) != nullptr);
}

TEST_CASE("service_without_cold_time_and_service_with_keys_have_no_ramps") {
    known_ramps without{0ms};
    CHECK(without.ramps.is_empty());
    without.ramps.on_recovery(entry("warm"), start);
    CHECK(without.ramps.is_empty());
    known_ramps keyed{3s, true};
    CHECK(keyed.ramps.is_empty());
    // A configuration without the time ends what an earlier one has begun.
    known_ramps known;
    known.ramps.set_config(&without.config);
    CHECK(known.ramps.is_empty());
}

// Guards against growing memory at 430 restarts a day.
TEST_CASE("ramp_of_an_incarnation_that_is_no_longer_listed_is_dropped") {
    known_ramps known;
    const auto listed = list({entry("warm"), entry("new")});
    known.ramps.apply(listed, list({entry("warm")}), start + 100ms);
    CHECK(known.ramps.is_empty());
}

TEST_CASE("response_is_good_if_it_is_in_time_and_a_slot_is_free") {
    struct example {
        const char* what;
        bool is_success;
        std::chrono::milliseconds latency;
        std::optional<cw_reported_load> load;
        double share;
    };
    const std::vector<example> examples{
        {"in time, a slot free", true, 20ms, cw_reported_load{5, 1, 6}, 0.5},
        {"in time, none waits", true, 20ms, cw_reported_load{6, 0, 6}, 0.5},
        {"in time, no load", true, 20ms, std::nullopt, 0.5},
        {"in time, all slots taken and some wait", true, 20ms, cw_reported_load{6, 1, 6}, 0.25},
        {"late", true, 21ms, cw_reported_load{0, 0, 6}, 0.125},
        {"failed", false, 10ms, std::nullopt, 0.125}};
    for (const auto& item : examples) {
        CAPTURE(item.what);
        known_ramps known;
        // The share is 1/4 from here to 2 s.
        known.ramps.find(entry("new"), start + 1s)->on_bad_response(start + 1s, start + 1s);
        const auto now = start + 1'500ms;
        known.ramps.on_response(entry("new"),
                                {now - item.latency, item.is_success, item.load, 10ms}, now);
        CHECK(known.ramps.find(entry("new"), now)->share(now) == item.share);
    }
}

TEST_CASE("recovery_during_a_ramp_begins_it_anew_and_after_one_begins_another") {
    known_ramps known;
    CHECK(known.ramps.find(entry("new"), start + 1s)->share(start + 1s) == 0.5);
    known.ramps.on_recovery(entry("new"), start + 1s);
    CHECK(known.ramps.find(entry("new"), start + 1s)->share(start + 1s) == 0.125);
    known.ramps.on_response(entry("new"), response(start + 1'100ms), start + 1'110ms);
    CHECK(known.ramps.find(entry("new"), start + 1'110ms)->share(start + 1'110ms) == 0.125);
    known.ramps.on_recovery(entry("warm"), start + 2s);
    CHECK(known.ramps.find(entry("warm"), start + 2s)->why() ==
          cw_upstream_ramp::reason::recovered);
}

// Guards against refusals for want of an upstream during a ramp.
TEST_CASE("ramping_upstream_is_chosen_if_no_other_is_left") {
    known_ramps known;
    const std::vector<cw_upstream_entry> upstreams{entry("warm"), entry("new")};
    std::map<std::string, cw_upstream_stats> stats;
    const auto stats_of = [&](const auto& upstream) -> const auto& {
        return stats[upstream.id];
    };
    cw_selection_criteria criteria{"z", 1s, nullptr, 0};
    criteria.ramps = &known.ramps;
    criteria.draw = [] { return 0.9; };
    CHECK(cw_select_upstream(upstreams, criteria, stats_of, start)->id == "warm");
    CHECK(known.ramps.take_skipped() == 1);
    const std::vector<std::string> tried{"warm"};
    criteria.tried_ids = &tried;
    CHECK(cw_select_upstream(upstreams, criteria, stats_of, start)->id == "new");
    CHECK(known.ramps.take_skipped() == 0);
    // One that has just failed is worse than one in its ramp.
    criteria.tried_ids = nullptr;
    for (int i = 0; i < 2; ++i) {
        stats["warm"].on_sent();
        stats["warm"].on_failure(start);
    }
    CHECK(cw_select_upstream(upstreams, criteria, stats_of, start)->id == "new");
}

// Guards against an upstream without load that is the best choice of each request that may choose
// it: an eighth of all requests is more than its part of an eleventh.
TEST_CASE("ramping_upstream_is_no_better_than_a_copy_of_another") {
    known_ramps known;
    std::vector<cw_upstream_entry> upstreams{entry("new")};
    std::map<std::string, cw_upstream_stats> stats;
    for (int i = 0; i < 10; ++i) {
        upstreams.push_back(entry("u" + std::to_string(i)));
        answer_often(stats["u" + std::to_string(i)], 300ms);
    }
    const auto stats_of = [&](const auto& upstream) -> const auto& {
        return stats[upstream.id];
    };
    cw_selection_criteria criteria{"z", 1s, nullptr, 0};
    criteria.ramps = &known.ramps;
    criteria.draw = [] { return 0.1; };
    int chosen = 0;
    for (; criteria.random_number < 110; ++criteria.random_number) {
        chosen += cw_select_upstream(upstreams, criteria, stats_of, start)->id == "new" ? 1 : 0;
    }
    CHECK(chosen == 10);
    // The same holds after the ramp, as long as it has not answered often.
    chosen = 0;
    for (criteria.random_number = 0; criteria.random_number < 110; ++criteria.random_number) {
        const auto* selected = cw_select_upstream(upstreams, criteria, stats_of, start + 5s);
        chosen += selected->id == "new" ? 1 : 0;
    }
    CHECK(chosen == 10);
    // One answer that is short by chance makes it no better, and one that is long no worse.
    stats["new"].on_sent();
    SUBCASE("short") {
        stats["new"].on_answer(50ms, std::nullopt, start);
    }
    SUBCASE("long") {
        stats["new"].on_answer(600ms, std::nullopt, start);
    }
    chosen = 0;
    for (criteria.random_number = 0; criteria.random_number < 110; ++criteria.random_number) {
        const auto* selected = cw_select_upstream(upstreams, criteria, stats_of, start + 5s);
        chosen += selected->id == "new" ? 1 : 0;
    }
    CHECK(chosen == 10);
    // Many answers do.
    answer_often(stats["new"], 50ms);
    CHECK(cw_select_upstream(upstreams, criteria, stats_of, start + 5s)->id == "new");
}

// Guards against a change of selection where slow start is not configured.
TEST_CASE("selection_without_slow_start_draws_nothing_and_takes_unknown_upstreams_as_before") {
    const std::vector<cw_upstream_entry> upstreams{entry("known"), entry("unknown")};
    std::map<std::string, cw_upstream_stats> stats;
    stats["known"].on_sent();
    stats["known"].on_answer(300ms, std::nullopt, start);
    const auto stats_of = [&](const auto& upstream) -> const auto& {
        return stats[upstream.id];
    };
    int draws = 0;
    cw_selection_criteria criteria{"z", 1s, nullptr, 0};
    criteria.draw = [&draws] { return ++draws, 0.9; };
    for (; criteria.random_number < 4; ++criteria.random_number) {
        CHECK(cw_select_upstream(upstreams, criteria, stats_of, start)->id == "unknown");
    }
    CHECK(draws == 0);
}

TEST_CASE("usual_service_time_is_the_median_of_the_others_that_have_responded") {
    const std::vector<cw_upstream_entry> upstreams{entry("a"), entry("b"), entry("c"), entry("d"),
                                                   entry("new")};
    std::map<std::string, cw_upstream_stats> stats;
    const auto stats_of = [&](const auto& upstream) -> const auto& {
        return stats[upstream.id];
    };
    CHECK_FALSE(cw_usual_service_time(upstreams, entry("new"), stats_of));
    const auto answer = [&](const char* id, std::chrono::milliseconds latency) {
        stats[id].on_sent();
        stats[id].on_answer(latency, std::nullopt, start);
    };
    answer("a", 10ms);
    answer("b", 20ms);
    answer("c", 900ms);
    answer("new", 5ms);
    CHECK(cw_usual_service_time(upstreams, entry("new"), stats_of) == 20ms);
}
