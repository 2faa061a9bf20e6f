/// Runs random fault schedules against the gateway's key ownership:
///
///     cw_steward_schedules SEED [COUNT]
///
/// Without COUNT, one schedule is run and its decisions are printed.

#include "cw_steward_schedule.h"

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv) {
    if (argc < 2) {
        std::cerr << "usage: cw_steward_schedules SEED [COUNT]\n";
        return 2;
    }
    const auto first = std::strtoull(argv[1], nullptr, 10);
    const auto count = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    std::size_t failed = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        cw_steward_schedule schedule{seed};
        schedule.run();
        if (argc == 2) {
            for (const auto& line : schedule.simulation().history()) {
                std::cout << line << '\n';
            }
        }
        if (!schedule.simulation().violations().empty()) {
            ++failed;
            std::cout << "seed " << seed << ": " << schedule.simulation().violations().front()
                      << '\n';
        }
    }
    std::cout << "steward schedules " << count << " from seed " << first << ", failed " << failed
              << '\n';
    return failed == 0 ? 0 : 1;
}
