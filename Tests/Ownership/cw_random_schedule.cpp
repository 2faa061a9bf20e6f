#include "cw_random_schedule.h"

#include "cw_ownership_bench.h"

#include <algorithm>

namespace {

using namespace std::chrono_literals;

constexpr std::size_t action_count = 10;
constexpr auto setup_time = 3s;
constexpr auto recovery_time = 16s;

cw_ownership_bench::options choose_options(std::uint64_t seed) {
    std::mt19937_64 engine{seed * 7919};
    cw_ownership_bench::options chosen;
    chosen.seed = seed;
    chosen.domains = 2;
    chosen.keepers = 1 + engine() % 3;
    chosen.upstreams = 2 + engine() % 2;
    chosen.checks_fences = engine() % 3 != 0;
    chosen.cut_off = engine() % 2 == 0 ? cw_partition_policy::hold : cw_partition_policy::release;
    chosen.drop = engine() % 2 == 0 ? 0.0 : 0.05;
    chosen.repeat = engine() % 2 == 0 ? 0.0 : 0.1;
    if (engine() % 2 == 0) {
        // Short failure detection timings make keepers react to each other's errors, which the
        // default timings hide.
        chosen.timings.suspicion_timeout = std::chrono::milliseconds{60};
        chosen.timings.probe_interval = std::chrono::milliseconds{20};
        chosen.timings.promise_request_interval = std::chrono::milliseconds{20};
    }
    chosen.lost_reply = engine() % 2 == 0 ? 0.0 : 0.2;
    return chosen;
}

/// Draws faults and applies them to the bench.
class fault_source {
public:
    fault_source(cw_ownership_bench& bench, std::uint64_t seed)
        : bench_{bench},
          engine_{seed} {}

    void apply_one(std::vector<std::string>& actions) {
        const auto kind = engine_() % 16;
        const auto keeper = pick(bench_.keeper_names());
        const auto upstream = pick(bench_.upstream_names());
        const auto length = std::chrono::milliseconds{50 + engine_() % 3000};
        const auto record = [&](const std::string& description) {
            actions.push_back(std::to_string(bench_.now().time_since_epoch() / 1ms - 3'600'000) +
                              " " + description);
        };
        switch (kind) {
        case 0:
            bench_.kill(keeper);
            record("kill " + keeper);
            break;
        case 1:
            bench_.restart(keeper);
            record("restart " + keeper);
            break;
        case 2:
            bench_.freeze(keeper, length);
            record("freeze " + keeper + " " + std::to_string(length.count()));
            break;
        case 3:
            bench_.kill(upstream);
            record("kill " + upstream);
            break;
        case 4:
            bench_.restart(upstream);
            record("restart " + upstream);
            break;
        case 5:
            bench_.freeze(upstream, length);
            record("freeze " + upstream + " " + std::to_string(length.count()));
            break;
        case 6:
            cut_random_link(record);
            break;
        case 7:
            bench_.heal();
            record("heal");
            break;
        case 8:
            bench_.set_store_up(engine_() % 2 == 0);
            record("store switched");
            break;
        case 9:
            bench_.set_lag(std::chrono::milliseconds{engine_() % 400});
            record("store slow");
            break;
        case 10:
            bench_.drain(upstream);
            record("drain " + upstream);
            break;
        case 11:
            drain_only(upstream);
            record("drain only " + upstream);
            break;
        case 12:
            freeze_and_partition(keeper, upstream, actions);
            break;
        case 14:
            reconnect_without_store(keeper, actions);
            break;
        case 13:
            bench_.set_slow_grants(engine_() % 2 == 0 ? 0.0 : 0.2);
            record("grants slow");
            break;
        default:
            bench_.stop_keeper(keeper);
            record("stop " + keeper);
            break;
        }
    }

    std::chrono::milliseconds pause_length() {
        // Half of the pauses are short, so that faults interrupt operations in progress.
        return std::chrono::milliseconds{engine_() % (engine_() % 2 == 0 ? 150 : 900)};
    }

private:
    template <typename Record>
    void cut_random_link(const Record& record) {
        std::vector<std::string> endpoints = bench_.keeper_names();
        endpoints.insert(endpoints.end(), {"d0", "d1", "store", "*"});
        const auto upstreams = bench_.upstream_names();
        endpoints.insert(endpoints.end(), upstreams.begin(), upstreams.end());
        const auto from = pick(endpoints);
        const auto to = pick(endpoints);
        if (engine_() % 2 == 0) {
            bench_.cut(from, to);
            record("cut " + from + " to " + to);
        } else {
            bench_.cut_both(from, to);
            record("cut both " + from + " " + to);
        }
    }

    /// Drains one upstream and ends the drain of all others, which causes repeated hand-overs.
    void drain_only(const std::string& upstream) {
        for (const auto& other : bench_.upstream_names()) {
            bench_.undrain(other);
        }
        bench_.drain(upstream);
    }

    /// Freezes an upstream for about a lease and partitions a keeper from the others of its domain.
    void freeze_and_partition(const std::string& keeper, const std::string& upstream,
                              std::vector<std::string>& actions) {
        const auto length = std::chrono::milliseconds{200 + engine_() % 700};
        actions.push_back("freeze " + upstream + " and split " + keeper);
        bench_.freeze(upstream, length);
        bench_.run(std::chrono::milliseconds{engine_() % 600});
        for (const auto& other : bench_.keeper_names()) {
            if (other != keeper && other.substr(0, 2) == keeper.substr(0, 2)) {
                bench_.cut_both(keeper, other);
            }
        }
    }

    /// Isolates a domain, then reconnects it to the other domain but not to the store.
    void reconnect_without_store(const std::string& keeper, std::vector<std::string>& actions) {
        const auto domain = keeper.substr(0, 2);
        actions.push_back("cut off " + domain + ", back without the store");
        bench_.cut_both(domain, "*");
        bench_.run(std::chrono::milliseconds{150 + engine_() % 600});
        bench_.heal();
        bench_.cut_both(domain, "store");
    }

    std::string pick(const std::vector<std::string>& names) {
        return names[engine_() % names.size()];
    }

    cw_ownership_bench& bench_;
    std::mt19937_64 engine_;
};

} // namespace

cw_schedule_verdict cw_run_random_schedule(std::uint64_t seed) {
    cw_schedule_verdict verdict;
    cw_ownership_bench bench{choose_options(seed)};
    fault_source faults{bench, seed};
    bench.run(setup_time);
    for (std::size_t i = 0; i < action_count; ++i) {
        faults.apply_one(verdict.actions);
        bench.run(faults.pause_length());
    }
    bench.heal();
    bench.set_loss_free();
    bench.set_slow_grants(0.0);
    bench.set_store_up(true);
    bench.set_lag(0ms);
    for (const auto& keeper : bench.keeper_names()) {
        bench.restart(keeper);
    }
    bench.add_upstream("d0u8", "d0");
    bench.add_upstream("d1u8", "d1");
    bench.run(recovery_time);
    verdict.two_owner_moments = bench.two_owner_moments();
    verdict.mixed_fences = bench.mixed_fences();
    verdict.unowned = bench.unowned();
    verdict.timeline = bench.timeline();
    const auto state = bench.describe();
    verdict.timeline.insert(verdict.timeline.end(), state.begin(), state.end());
    return verdict;
}
