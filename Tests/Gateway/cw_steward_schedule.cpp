#include "cw_steward_schedule.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace {
constexpr int steps = 12;
} // namespace

cw_steward_schedule::cw_steward_schedule(std::uint64_t seed)
    : engine_{seed},
      world_{seed} {
    for (int i = 0; i < 4; ++i) {
        world_.start_host("h" + std::to_string(i));
    }
    for (int i = 0; i < 6; ++i) {
        world_.start_upstream("u" + std::to_string(i));
    }
    world_.run(3s);
}

void cw_steward_schedule::play() {
    for (int i = 0; i < steps && world_.violations().empty(); ++i) {
        disturb();
        world_.run(std::chrono::milliseconds{engine_() % 2'500});
    }
    world_.heal();
    world_.set_store_down(false);
    world_.set_late_orders(0.0);
    world_.set_lost_replies(0.0);
    world_.run(14s);
}

std::string cw_steward_schedule::host() {
    return "h" + std::to_string(engine_() % 4);
}

std::string cw_steward_schedule::upstream() {
    return "u" + std::to_string(engine_() % 6);
}

bool cw_steward_schedule::runs(const std::string& name) const {
    const auto names = world_.hosts();
    return std::find(names.begin(), names.end(), name) != names.end();
}

void cw_steward_schedule::disturb() {
    const auto name = host();
    switch (engine_() % 15) {
    case 0:
        world_.kill_host(name);
        break;
    case 1:
        world_.kill_host(world_.steward());
        break;
    case 2:
        if (runs(name)) {
            world_.freeze_host(name, std::chrono::milliseconds{engine_() % 6'000});
        }
        break;
    case 3:
        world_.cut(name, "store");
        break;
    case 4:
        world_.cut(name, upstream());
        break;
    case 5:
        world_.cut(name, host());
        break;
    case 6:
        world_.heal();
        world_.set_store_down(engine_() % 3 == 0);
        break;
    case 7:
        world_.set_late_orders(engine_() % 2 == 0 ? 0.4 : 0.0);
        break;
    case 8:
        world_.set_lost_replies(engine_() % 2 == 0 ? 0.4 : 0.0);
        break;
    case 9:
        world_.crash_upstream(upstream());
        break;
    case 10:
        world_.start_upstream(upstream(), std::chrono::milliseconds{engine_() % 900},
                              std::chrono::milliseconds{engine_() % 3'000});
        break;
    case 11:
        world_.lapse_upstream(upstream());
        break;
    case 12:
        world_.begin_work(upstream(), std::chrono::milliseconds{engine_() % 2'000});
        break;
    case 13:
        world_.drain_upstream(upstream());
        break;
    default:
        for (int i = 0; i < 4; ++i) {
            if (!runs("h" + std::to_string(i))) {
                world_.start_host("h" + std::to_string(i));
            }
        }
    }
}
