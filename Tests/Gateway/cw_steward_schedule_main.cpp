/// Runs random fault schedules against the gateway's key ownership:
///
///     cw_steward_schedules [KIND] SEED [COUNT]
///
/// Without COUNT, one schedule is run and its decisions are printed. KIND adds faults to the basic
/// ones: --restores, the store comes back from older copies; --domain-cuts, failure domains are cut
/// off; --stale-stewards, stewards miss their succession; --late-senders, failure domains are cut
/// off and commands wait for their sender's thread; --stops, stewards stop gracefully;
/// --lease-changes, as --stale-stewards, and leases change their length; --drills, keys move or are
/// granted first, and the store comes back from a copy of before, most often without the steward.

#include "cw_steward_schedule.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <vector>

int main(int argc, char** argv) {
    std::vector<std::string> words{argv + 1, argv + argc};
    const std::map<std::string, cw_steward_schedule::faults> kinds{
        {"--restores", cw_steward_schedule::faults::with_restores},
        {"--domain-cuts", cw_steward_schedule::faults::with_domain_cuts},
        {"--stale-stewards", cw_steward_schedule::faults::with_stale_stewards},
        {"--late-senders", cw_steward_schedule::faults::with_late_senders},
        {"--stops", cw_steward_schedule::faults::with_stops},
        {"--lease-changes", cw_steward_schedule::faults::with_lease_changes},
        {"--drills", cw_steward_schedule::faults::with_drills}};
    auto faults = cw_steward_schedule::faults::basic;
    if (const auto kind = words.empty() ? kinds.end() : kinds.find(words.front());
        kind != kinds.end()) {
        faults = kind->second;
        words.erase(words.begin());
    }
    if (words.empty()) {
        std::cerr << "usage: cw_steward_schedules [--restores | --domain-cuts | --stale-stewards | "
                     "--late-senders | --stops | --lease-changes | --drills] SEED [COUNT]\n";
        return 2;
    }
    const auto first = std::strtoull(words[0].c_str(), nullptr, 10);
    const auto count = words.size() > 1 ? std::strtoull(words[1].c_str(), nullptr, 10) : 1;
    std::size_t failed = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        cw_steward_schedule schedule{seed, faults};
        schedule.run();
        if (words.size() == 1) {
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
