#include "cw_steward_schedule.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace {
constexpr int fault_count = 12;
constexpr int host_count = 4;
constexpr int upstream_count = 6;

std::string host_name(int number) {
    return "h" + std::to_string(number);
}

std::string upstream_name(int number) {
    return "u" + std::to_string(number);
}
} // namespace

cw_steward_schedule::cw_steward_schedule(std::uint64_t seed, faults kinds)
    : kinds_{kinds},
      engine_{seed},
      simulation_{seed} {
    for (int i = 0; i < host_count; ++i) {
        simulation_.start_host(host_name(i));
    }
    for (int i = 0; i < upstream_count; ++i) {
        simulation_.start_upstream(upstream_name(i));
    }
    loses_first_table_ = kinds_ == faults::with_drills && engine_() % 3 == 0;
    simulation_.run(loses_first_table_ ? 1'500ms : 3'000ms);
    if (kinds_ == faults::with_late_senders) {
        simulation_.set_late_senders(0.1);
    }
}

void cw_steward_schedule::run() {
    for (int i = 0; i < fault_count && simulation_.violations().empty(); ++i) {
        inject_fault();
        simulation_.run(std::chrono::milliseconds{engine_() % 2'500});
    }
    simulation_.reconnect_all();
    simulation_.set_store_down(false);
    simulation_.set_late_commands(0.0);
    simulation_.set_lost_replies(0.0);
    simulation_.set_late_senders(0.0);
    simulation_.run(14s);
}

std::string cw_steward_schedule::random_host() {
    return host_name(static_cast<int>(engine_() % host_count));
}

std::string cw_steward_schedule::random_upstream() {
    return upstream_name(static_cast<int>(engine_() % upstream_count));
}

bool cw_steward_schedule::is_running(const std::string& host) const {
    const auto names = simulation_.hosts();
    return std::find(names.begin(), names.end(), host) != names.end();
}

void cw_steward_schedule::inject_fault() {
    constexpr std::uint64_t drill_share = 4;
    constexpr std::uint64_t restore_share = 5;
    constexpr std::uint64_t domain_cut_share = 3;
    constexpr std::uint64_t stale_steward_share = 4;
    constexpr std::uint64_t stop_share = 5;
    constexpr std::uint64_t lease_change_share = 3;
    if (kinds_ == faults::with_restores && engine_() % restore_share == 0) {
        restore_store();
    } else if (kinds_ == faults::with_drills &&
               (loses_first_table_ || engine_() % drill_share == 0)) {
        drill();
    } else if ((kinds_ == faults::with_domain_cuts || kinds_ == faults::with_late_senders) &&
               engine_() % domain_cut_share == 0) {
        cut_domain();
    } else if (kinds_ == faults::with_stops && engine_() % stop_share == 0) {
        const auto steward = simulation_.steward();
        if (!steward.empty()) {
            simulation_.stop_host(steward);
        }
    } else if (kinds_ == faults::with_lease_changes && engine_() % lease_change_share == 0) {
        change_leases();
    } else if ((kinds_ == faults::with_stale_stewards || kinds_ == faults::with_lease_changes) &&
               engine_() % stale_steward_share == 0) {
        make_steward_stale();
    } else {
        inject_basic_fault();
    }
}

void cw_steward_schedule::restore_store() {
    const std::chrono::milliseconds outage{engine_() % 1'500};
    const std::chrono::milliseconds age{engine_() % 5'000};
    simulation_.set_store_down(true);
    simulation_.run(outage);
    simulation_.restore_store(age);
    simulation_.set_store_down(false);
}

void cw_steward_schedule::drill() {
    // Older than the first table when the simulation has just begun.
    const std::chrono::milliseconds oldest{loses_first_table_ ? 6'000 : 0};
    loses_first_table_ = false;
    disconnect_from_hosts(random_upstream());
    const std::chrono::milliseconds cut{1'800 + engine_() % 2'600};
    simulation_.run(cut);
    const std::chrono::milliseconds outage{engine_() % 900};
    const auto age = std::max(oldest, cut + outage + std::chrono::milliseconds{engine_() % 500});
    simulation_.set_store_down(true);
    disturb_hosts();
    simulation_.run(outage);
    simulation_.restore_store(age);
    simulation_.set_store_down(false);
    simulation_.run(1'000ms);
    start_missing_hosts();
    if (engine_() % 3 == 0) {
        const std::chrono::milliseconds pause{engine_() % 2'500};
        simulation_.run(pause);
        disturb_hosts();
        simulation_.restore_store(age + 1'100ms + pause);
        simulation_.run(1'000ms);
        start_missing_hosts();
    }
    simulation_.run(std::chrono::milliseconds{engine_() % 4'000});
    simulation_.reconnect_all();
}

void cw_steward_schedule::disturb_hosts() {
    const auto steward = simulation_.steward();
    switch (engine_() % 6) {
    case 0:
    case 1:
        for (const auto& host : simulation_.hosts()) {
            simulation_.kill_host(host);
        }
        break;
    case 2:
        simulation_.kill_host(steward);
        break;
    case 3:
        if (!steward.empty()) {
            simulation_.freeze_host(steward, 4s);
        }
        break;
    case 4:
        if (!steward.empty()) {
            simulation_.disconnect(steward, "store");
            disconnect_from_hosts(steward);
        }
        break;
    default:
        break;
    }
}

void cw_steward_schedule::start_missing_hosts() {
    for (int i = 0; i < host_count; ++i) {
        if (!is_running(host_name(i))) {
            simulation_.start_host(host_name(i));
        }
    }
}

void cw_steward_schedule::disconnect_from_hosts(const std::string& name) {
    for (int i = 0; i < host_count; ++i) {
        simulation_.disconnect(name, host_name(i));
    }
}

void cw_steward_schedule::cut_domain() {
    simulation_.reconnect_all();
    const auto domain = static_cast<int>(engine_() % host_count);
    const auto is_inside = [domain](int number) { return number % host_count == domain; };
    for (int host = 0; host < host_count; ++host) {
        for (int other = 0; other < host; ++other) {
            if (is_inside(host) != is_inside(other)) {
                simulation_.disconnect(host_name(host), host_name(other));
            }
        }
        for (int upstream = 0; upstream < upstream_count; ++upstream) {
            if (is_inside(host) != is_inside(upstream)) {
                simulation_.disconnect(host_name(host), upstream_name(upstream));
            }
        }
    }
    if (engine_() % 2 == 0) {
        simulation_.disconnect(host_name(domain), "store");
    }
}

void cw_steward_schedule::make_steward_stale() {
    const auto steward = simulation_.steward();
    if (steward.empty()) {
        return;
    }
    if (engine_() % 2 == 0) {
        simulation_.freeze_host(steward, std::chrono::milliseconds{3'500 + engine_() % 3'000});
    } else {
        simulation_.disconnect(steward, "store");
        disconnect_from_hosts(steward);
    }
    simulation_.run(2'200ms);
    constexpr double hot_key_rate = 400.0;
    for (int i = 0; i < 2; ++i) {
        simulation_.set_load(engine_() % cw_ownership_simulation::samples, hot_key_rate);
    }
    simulation_.run(std::chrono::milliseconds{engine_() % 3'000});
    for (int i = 0; i < 2; ++i) {
        simulation_.start_upstream(random_upstream(), std::chrono::milliseconds{engine_() % 900});
    }
    simulation_.run(std::chrono::milliseconds{engine_() % 3'000});
    simulation_.reconnect_all();
}

void cw_steward_schedule::change_leases() {
    // The longest target is twice the cap of the leases.
    const std::chrono::milliseconds target{engine_() % 2 == 0 ? 0 : engine_() % 3'600};
    simulation_.set_longest_target(target, 2'000ms);
}

void cw_steward_schedule::inject_basic_fault() {
    const auto host = random_host();
    switch (engine_() % 15) {
    case 0:
        simulation_.kill_host(host);
        break;
    case 1:
        simulation_.kill_host(simulation_.steward());
        break;
    case 2:
        if (is_running(host)) {
            simulation_.freeze_host(host, std::chrono::milliseconds{engine_() % 6'000});
        }
        break;
    case 3:
        simulation_.disconnect(host, "store");
        break;
    case 4:
        simulation_.disconnect(host, random_upstream());
        break;
    case 5:
        simulation_.disconnect(host, random_host());
        break;
    case 6:
        simulation_.reconnect_all();
        simulation_.set_store_down(engine_() % 3 == 0);
        break;
    case 7:
        simulation_.set_late_commands(engine_() % 2 == 0 ? 0.4 : 0.0);
        break;
    case 8:
        simulation_.set_lost_replies(engine_() % 2 == 0 ? 0.4 : 0.0);
        break;
    case 9:
        simulation_.crash_upstream(random_upstream());
        break;
    case 10:
        simulation_.start_upstream(random_upstream(), std::chrono::milliseconds{engine_() % 900},
                                   std::chrono::milliseconds{engine_() % 3'000});
        break;
    case 11:
        simulation_.expire_upstream_entry(random_upstream());
        break;
    case 12:
        simulation_.start_work(random_upstream(), std::chrono::milliseconds{engine_() % 2'000});
        break;
    case 13:
        simulation_.drain_upstream(random_upstream());
        break;
    default:
        start_missing_hosts();
    }
}
