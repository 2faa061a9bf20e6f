#include "cw_cold_start_limits.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr cw_boot_time start{1'000s};
/// The values of deployment A in docs/CONTENDED-LOAD.md.
constexpr double cold_rate = 4.5;
constexpr double overage = 1.5;
constexpr double slack = 8.0;
constexpr double bound = cold_rate * overage + slack;
const double target = cw_cold_target_rate(cold_rate, overage, slack);

/// Many hosts with requests for one cold upstream at random moments.
class cold_upstream_simulation {
public:
    cold_upstream_simulation(std::uint32_t hosts, std::uint64_t seed)
        : hosts_{hosts},
          engine_{seed} {
        for (std::uint32_t i = 0; i < hosts; ++i) {
            limits_.emplace_back(draw(), now_);
        }
    }

    /// Runs for the given time; `demand` is the number of requests a second of all hosts.
    void run(std::chrono::milliseconds length, double demand) {
        const auto until = now_ + length;
        std::exponential_distribution<> interval{demand};
        while (demand > 0.0) {
            const auto next = now_ + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                         std::chrono::duration<double>(interval(engine_)));
            if (next > until) {
                break;
            }
            now_ = next;
            auto& limit = limits_[engine_() % hosts_];
            if (limit.admits(target / hosts_, now_)) {
                limit.on_sent();
                sent_.push_back(now_);
            }
        }
        now_ = until;
    }

    /// Most requests in any window of one second.
    [[nodiscard]] std::size_t max_in_a_second() const {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < sent_.size(); ++last) {
            while (sent_[last] - sent_[first] >= 1s) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }
    [[nodiscard]] double rate() const {
        return static_cast<double>(sent_.size()) /
               std::chrono::duration<double>(now_ - start).count();
    }

private:
    double draw() { return std::uniform_real_distribution<>{}(engine_); }

    std::uint32_t hosts_;
    std::mt19937_64 engine_;
    cw_boot_time now_ = start;
    std::vector<cw_cold_start_limit> limits_;
    std::vector<cw_boot_time> sent_;
};

constexpr std::uint32_t fleet_sizes[] = {1, 10, 71, 4'700};
constexpr std::uint64_t seeds = 20;
/// Requests a second for one owner of keys of deployment A.
constexpr double keyed_demand = 7.06;
/// Requests a second for a service without keys, each of which may go to the cold upstream: at
/// least the 256 of deployment A, and as many for each host as there.
double keyless_demand(std::uint32_t hosts) {
    return std::max(256.0, 256.0 / 71.0 * hosts);
}

cw_upstream_entry entry(const std::string& id, std::chrono::milliseconds cold,
                        std::uint64_t incarnation = 1) {
    cw_upstream_entry made;
    made.id = id;
    made.service = "s";
    made.address = "10.0.0.1:1";
    made.incarnation = incarnation;
    made.warm_at = cold.count() > 0 ? start + cold : cw_boot_time{};
    return made;
}

cw_gateway_view make_view(const std::vector<cw_upstream_entry>& entries, double rate = cold_rate) {
    cw_gateway_view view;
    view.config = std::make_shared<const cw_site_config>(
        *cw_site_config::make(1, {}, {}, {{.name = "s", .cold_rate = rate}}));
    auto lists = std::make_shared<cw_upstream_lists>();
    (*lists)["s"] = entries;
    view.upstreams = lists;
    return view;
}

/// The limits of a host that draws the same number each time.
struct cold_limits {
    cw_cold_start_limits limits{overage, slack};
    double drawn = 0.0;

    void apply(const cw_gateway_view& view, cw_boot_time now = start) {
        limits.on_view(
            view, [this] { return drawn; }, now);
    }
    /// Ids of the upstreams that are treated as cold since the last call, or no longer with "-".
    std::vector<std::string> changes() {
        std::vector<std::string> ids;
        for (const auto& change : limits.take_changes()) {
            ids.push_back((change.is_cold ? "" : "-") + change.id);
        }
        return ids;
    }
};

using names = std::vector<std::string>;

} // namespace

// -- rate of all hosts together

TEST_CASE("cold_target_rate_is_six_deviations_below_the_bound_and_below_the_cold_rate") {
    CHECK(target + 6.0 * std::sqrt(target) == doctest::Approx(bound));
    CHECK(target == doctest::Approx(3.51).epsilon(0.01));
    CHECK(cw_cold_target_rate(2.8, 1.5, 8.0) == doctest::Approx(0.85 * 2.8));
    CHECK(cw_cold_target_rate(4.5, 0.0, 0.0) == doctest::Approx(0.0));
}

// A cold upstream crashes if hosts that decide without messages send too much together.
TEST_CASE("cold_upstream_gets_no_more_than_the_bound_in_any_second_from_hosts_of_any_number") {
    for (const auto hosts : fleet_sizes) {
        for (const double load : {1.0, 5.0}) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                for (const double demand : {keyed_demand, keyless_demand(hosts)}) {
                    CAPTURE(hosts);
                    CAPTURE(demand);
                    CAPTURE(seed);
                    cold_upstream_simulation simulation{hosts, seed};
                    simulation.run(hosts > 1'000 ? 3s : 30s, demand * load);
                    CHECK(static_cast<double>(simulation.max_in_a_second()) <= bound);
                }
            }
        }
    }
}

// Hosts without requests would otherwise all hold a token when a load spike sends everybody to the
// cold upstream.
TEST_CASE("cold_upstream_gets_no_more_than_the_bound_when_load_arrives_after_a_quiet_time") {
    for (const auto hosts : fleet_sizes) {
        for (const auto quiet : {3s, 20s}) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                CAPTURE(hosts);
                CAPTURE(quiet.count());
                CAPTURE(seed);
                cold_upstream_simulation simulation{hosts, seed};
                simulation.run(quiet, 0.0);
                simulation.run(2s, 5.0 * keyless_demand(hosts));
                CHECK(static_cast<double>(simulation.max_in_a_second()) <= bound);
            }
        }
    }
}

TEST_CASE("service_without_keys_uses_half_of_the_target_rate_of_a_cold_upstream_or_more") {
    for (const auto hosts : fleet_sizes) {
        for (const double load : {1.0, 5.0}) {
            CAPTURE(hosts);
            CAPTURE(load);
            cold_upstream_simulation simulation{hosts, 1};
            simulation.run(hosts > 1'000 ? 10s : 60s, load * keyless_demand(hosts));
            CHECK(simulation.rate() >= target / 2.0);
        }
    }
}

// -- one host

TEST_CASE("cold_limit_admits_one_request_per_token_and_tells_when_the_next_is_admitted") {
    cw_cold_start_limit limit{0.5, start};
    CHECK_FALSE(limit.admits(1.0, start));
    CHECK(limit.admission_delay(1.0, start) == 500ms);
    CHECK(limit.admits(1.0, start + 500ms));
    limit.on_sent();
    CHECK_FALSE(limit.admits(1.0, start + 501ms));
    CHECK(limit.admits(1.0, start + 1'500ms));
}

TEST_CASE("cold_limit_loses_a_token_that_is_not_used_in_time") {
    constexpr auto unused = cw_cold_start_limit::max_unused_time;
    cw_cold_start_limit limit{0.0, start};
    CHECK(limit.admits(1.0, start + 1s + unused - 1ms));
    CHECK_FALSE(limit.admits(1.0, start + 1s + unused + 1ms));
    CHECK(limit.admits(1.0, start + 2s + unused + 1ms));
    // The same when the host has no requests for many periods.
    cw_cold_start_limit idle{0.0, start};
    CHECK_FALSE(idle.admits(1.0, start + 10 * (1s + unused) + 999ms));
    CHECK(idle.admits(1.0, start + 10 * (1s + unused) + 1'001ms));
}

TEST_CASE_FIXTURE(cold_limits,
                  "host_that_knows_no_number_of_hosts_sends_nothing_to_a_cold_upstream") {
    drawn = 0.999;
    const auto cold = entry("u", 60s);
    apply(make_view({cold, entry("warm", 0s)}));
    for (auto now = start; now < start + 50s; now += 100ms) {
        CHECK_FALSE(limits.admits(cold, 0, now));
    }
    CHECK(limits.admission_delay(cold, 0, start + 50s) == 10s);
    CHECK(limits.admits(entry("warm", 0s), 0, start));
    CHECK(limits.admits(cold, 1, start + 50s + 10ms));
}

TEST_CASE_FIXTURE(cold_limits, "rate_of_a_cold_upstream_is_divided_by_the_number_of_hosts") {
    const auto cold = entry("u", 60s);
    apply(make_view({cold}));
    CHECK(limits.admission_delay(cold, 1, start) == 285ms);
    CHECK(limits.admission_delay(cold, 10, start) == 2'850ms);
    CHECK(limits.admission_delay(cold, 4'700, start) == 60s);
}

TEST_CASE_FIXTURE(cold_limits, "request_sent_to_a_cold_upstream_uses_its_token") {
    drawn = 0.999;
    const auto cold = entry("u", 60s);
    apply(make_view({cold, entry("other", 60s)}));
    REQUIRE(limits.admits(cold, 1, start + 100ms));
    // Being asked costs nothing: the request may go elsewhere.
    REQUIRE(limits.admits(cold, 1, start + 100ms));
    CHECK(limits.on_sent(cold, start + 100ms));
    CHECK_FALSE(limits.admits(cold, 1, start + 101ms));
    CHECK(limits.admits(entry("other", 60s), 1, start + 101ms));
    CHECK_FALSE(limits.on_sent(entry("warm", 0s), start + 101ms));
}

TEST_CASE_FIXTURE(cold_limits, "limit_of_a_cold_upstream_ends_with_its_warm_up") {
    const auto cold = entry("u", 3s);
    apply(make_view({cold}));
    CHECK(changes() == names{"u"});
    CHECK_FALSE(limits.admits(cold, 71, start + 2'999ms));
    CHECK(limits.next_end() == start + 3s);
    CHECK(limits.admits(cold, 71, start + 3s));
    CHECK_FALSE(limits.on_sent(cold, start + 3s));
    limits.drop_warm(start + 3s);
    CHECK(limits.is_empty());
    CHECK(changes() == names{"-u"});
}

TEST_CASE_FIXTURE(cold_limits, "upstream_that_is_cold_for_longer_keeps_its_bucket") {
    apply(make_view({entry("u", 3s)}));
    REQUIRE_FALSE(limits.admits(entry("u", 3s), 10, start + 2'500ms));
    drawn = 0.999;
    apply(make_view({entry("u", 9s)}), start + 2'500ms);
    CHECK(limits.admission_delay(entry("u", 9s), 10, start + 2'500ms) == 350ms);
    CHECK(limits.next_end() == start + 9s);
    CHECK(changes() == names{"u"});
}

// State of upstreams that have gone must not pile up over weeks of restarts.
TEST_CASE_FIXTURE(cold_limits,
                  "state_is_dropped_for_upstreams_that_are_not_listed_or_not_limited") {
    for (std::uint64_t incarnation = 1; incarnation <= 1'000; ++incarnation) {
        apply(make_view({entry("u", 3s, incarnation)}));
        limits.on_connect_refused(entry("v", 0s, incarnation), 0.5, start);
    }
    CHECK(limits.size() == 2);
    apply(make_view({entry("u", 3s, 1'000)}));
    CHECK(limits.size() == 1);
    apply(make_view({entry("u", 3s, 1'000)}, 0.0));
    CHECK(limits.is_empty());
    apply(cw_gateway_view{});
    CHECK(limits.is_empty());
}

// The entries of a domain that returns to service may arrive later than the end of its evacuation.
TEST_CASE_FIXTURE(cold_limits, "upstream_whose_domain_has_just_returned_is_treated_as_cold") {
    auto warm = entry("u", 0s);
    warm.domain = "east";
    auto view = make_view({warm});
    view.evacuations.returned["east"] = start + 1'500ms;
    apply(view);
    CHECK(changes() == names{"u"});
    CHECK_FALSE(limits.admits(warm, 71, start + 1'499ms));
    CHECK(limits.admits(warm, 71, start + 1'500ms));
}

TEST_CASE_FIXTURE(cold_limits, "service_without_a_cold_rate_has_no_limit") {
    const auto cold = entry("u", 60s);
    apply(make_view({cold}, 0.0));
    CHECK(limits.admits(cold, 0, start));
    limits.on_connect_refused(cold, 0.0, start);
    CHECK(limits.is_empty());
}

// A restart shows as a refused connect before its entry arrives.
TEST_CASE_FIXTURE(cold_limits, "upstream_that_refused_a_connect_is_treated_as_cold_for_a_while") {
    const auto warm = entry("u", 0s);
    apply(make_view({warm}));
    REQUIRE(limits.admits(warm, 71, start));
    limits.on_connect_refused(warm, 0.0, start);
    CHECK_FALSE(limits.admits(warm, 71, start));
    // A view that still has the entry of before the restart does not end it.
    apply(make_view({warm}), start + 1s);
    CHECK_FALSE(limits.admits(warm, 71, start + 1'499ms));
    CHECK(limits.admits(warm, 71, start + 1'500ms));
    // A refused connect later, and one of a cold upstream, lengthen the time.
    limits.on_connect_refused(warm, 0.0, start + 1'400ms);
    CHECK_FALSE(limits.admits(warm, 71, start + 2'800ms));
    limits.drop_warm(start + 2'900ms);
    CHECK(changes() == names{"u", "-u"});
}
