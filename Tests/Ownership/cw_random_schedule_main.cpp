/// Runs random schedules of faults: `cw_random_schedules FIRST COUNT` runs a range of seeds,
/// `cw_random_schedules SEED` runs one and prints its timeline.

#include "cw_random_schedule.h"

#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

void print_schedule(const cw_schedule_verdict& verdict) {
    for (const auto& action : verdict.actions) {
        std::printf("  %s\n", action.c_str());
    }
    for (const auto& line : verdict.timeline) {
        std::printf("    %s\n", line.c_str());
    }
}

int run_range(std::uint64_t first, std::uint64_t count) {
    std::size_t failed = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const auto verdict = cw_run_random_schedule(seed);
        if (!verdict.has_passed()) {
            ++failed;
            std::printf("seed %llu: two-owner moments %zu, mixed fences %zu, unowned %zu\n",
                        static_cast<unsigned long long>(seed), verdict.two_owner_moments,
                        verdict.mixed_fences, verdict.unowned);
        }
    }
    std::printf("schedules %llu from seed %llu, failed %zu\n",
                static_cast<unsigned long long>(count), static_cast<unsigned long long>(first),
                failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv) {
    if (argc == 2) {
        const auto verdict = cw_run_random_schedule(std::stoull(argv[1]));
        print_schedule(verdict);
        std::printf("two-owner moments %zu, mixed fences %zu, unowned %zu\n",
                    verdict.two_owner_moments, verdict.mixed_fences, verdict.unowned);
        return verdict.has_passed() ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    if (argc != 3) {
        std::fprintf(stderr, "usage: cw_random_schedules SEED | FIRST COUNT\n");
        return EXIT_FAILURE;
    }
    return run_range(std::stoull(argv[1]), std::stoull(argv[2]));
}
